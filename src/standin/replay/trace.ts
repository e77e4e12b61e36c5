import { z } from "zod";
import { Lane } from "../../decision/index.ts";
import { Purchase } from "../../interface/index.ts";
import { deploymentSchema } from "../../version/index.ts";

const timeSchema = z.number().min(0);
const countSchema = z.number().int().min(0);
const shareSchema = z.number().min(0).max(1);

/** What must hold after the trace for one service. */
const serviceOutcomeSchema = z.strictObject({
  /** Least part of the first tokens that came within the service's target. */
  firstToken: shareSchema.optional(),
  /** Least part of the gaps between tokens that were within the service's target. */
  betweenTokens: shareSchema.optional(),
  /** Least part of the requests that were answered whole. */
  answered: shareSchema.optional(),
  /** Greatest 99th percentile of the time to the first token, in milliseconds. */
  firstTokenP99: z.number().positive().optional(),
});

/** What must hold after the trace. */
const outcomesSchema = z.strictObject({
  /** Most accepted requests that may end without their whole answer. */
  lost: countSchema,
  /** Most tokens that may be computed again. */
  recomputed: countSchema.optional(),
  /** Greatest cost, in euros. */
  cost: z.number().positive().optional(),
  /** Least answer tokens a second of whole and timely answers. */
  goodput: z.number().positive().optional(),
  services: z.record(z.string(), serviceOutcomeSchema),
});

const headerSchema = z.strictObject({
  kind: z.literal("header"),
  name: z.string().min(1),
  seed: z.number().int(),
  /**
   * Milliseconds that are counted; what was accepted is played to its end. A recording doesn't know it when
   * it begins: until its last line, then.
   */
  duration: z.number().positive().optional(),
  /** Preset in force at the start. */
  preset: z.string(),
  /** Bytes a second at which the weight store gives out models, to all launches together. */
  weightStore: z.number().positive(),
  /** Bytes a second at which a worker under notice sends KV cache. */
  transferRate: z.number().positive(),
  /** Bytes of KV cache a token. */
  bytesPerToken: z.number().positive(),
  /** The deployment document, as its file has it. */
  deployment: deploymentSchema,
  outcomes: outcomesSchema,
});

/** One request; short names, since a trace has thousands. */
const arrivalSchema = z.strictObject({
  /** When it arrives. */
  t: timeSchema,
  /** Client account. */
  a: z.string(),
  /** Service. */
  s: z.string(),
  /** Prompt tokens. */
  p: z.number().int().positive(),
  /** Tokens of the answer that it will get. */
  n: z.number().int().positive(),
  /** Name of the prefix that its prompt shares with others, and how many tokens of it. */
  x: z.string().optional(),
  xt: countSchema.optional(),
  /** Lane, where it isn't the service's. */
  l: z.enum(Lane).optional(),
  /** The caller's own bound on the answer. */
  m: z.number().int().positive().optional(),
  /** Whether it may be repeated, where that isn't as the service says. */
  r: z.boolean().optional(),
  /** Detached: nobody waits for the first token. */
  d: z.boolean().optional(),
  /** Deadline in milliseconds from the arrival, where it isn't the service's. */
  dl: z.number().positive().optional(),
});

const faultSchema = z.discriminatedUnion("kind", [
  /** The cloud takes every reclaimable worker of an availability zone, or one worker of a service. */
  z.strictObject({
    kind: z.literal("reclaim"),
    t: timeSchema,
    /** Milliseconds of notice. */
    within: timeSchema,
    zone: z.string().optional(),
    service: z.string().optional(),
    /** Which of the service's live workers, counted from 0, round and round. */
    index: countSchema.optional(),
  }),
  /** The cloud refuses launches; an absent field stands for all. */
  z.strictObject({
    kind: z.literal("refuse"),
    t: timeSchema,
    until: timeSchema,
    zone: z.string().optional(),
    machineClass: z.string().optional(),
    purchase: z.enum(Purchase).optional(),
  }),
  /** A worker's steps take `factor` times as long. */
  z.strictObject({
    kind: z.literal("slow"),
    t: timeSchema,
    until: timeSchema,
    service: z.string(),
    index: countSchema,
    factor: z.number().positive(),
  }),
  z.strictObject({ kind: z.literal("preset"), t: timeSchema, preset: z.string() }),
]);

/** A trace's first line. */
type TraceHeader = z.infer<typeof headerSchema> & { readonly duration: number };
/** One request of a trace. */
export type TraceArrival = z.infer<typeof arrivalSchema>;
/** One fault of a trace. */
export type TraceFault = z.infer<typeof faultSchema>;
/** What a trace states must hold. */
export type ExpectedOutcomes = z.infer<typeof outcomesSchema>;

/** A recorded or generated course of events, in order of time. */
export interface Trace {
  readonly header: TraceHeader;
  readonly arrivals: readonly TraceArrival[];
  readonly faults: readonly TraceFault[];
}

/** A line of a trace that can't be read. */
interface TraceFailure {
  readonly kind: "unreadable";
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
  /** What was found and what is expected. */
  readonly message: string;
}

/** A trace, or the first line of its file that can't be read. */
export type TraceResult = { readonly kind: "read"; readonly trace: Trace } | TraceFailure;

/**
 * Reads a trace: JSON lines, the header first, then arrivals and faults in any order.
 *
 * @param text The file's content.
 * @param file The file's name, for the failure.
 */
export function parseTrace(text: string, file: string): TraceResult {
  const failure = (line: number, message: string): TraceFailure => ({
    kind: "unreadable",
    file,
    line,
    message,
  });
  const lines = text.split("\n");
  const headerLine = parseLine(lines[0] ?? "", headerSchema);
  if (headerLine.kind === "faulty") return failure(1, headerLine.message);
  const arrivals: TraceArrival[] = [];
  const faults: TraceFault[] = [];
  for (const [index, line] of lines.entries()) {
    if (index === 0 || line.trim() === "") continue;
    const parsed = parseEvent(line);
    if (parsed.kind === "faulty") return failure(index + 1, parsed.message);
    const message = findUnknownName(headerLine.value, parsed.value);
    if (message !== undefined) return failure(index + 1, message);
    if ("kind" in parsed.value) faults.push(parsed.value);
    else arrivals.push(parsed.value);
  }
  const byTime = (a: { t: number }, b: { t: number }): number => a.t - b.t;
  arrivals.sort(byTime);
  faults.sort(byTime);
  const lastEventAt = Math.max(1, arrivals.at(-1)?.t ?? 0, faults.at(-1)?.t ?? 0);
  const { duration = lastEventAt } = headerLine.value;
  return { kind: "read", trace: { header: { ...headerLine.value, duration }, arrivals, faults } };
}

type ParsedLine<T> =
  | { readonly kind: "parsed"; readonly value: T }
  | { readonly kind: "faulty"; readonly message: string };

function parseEvent(line: string): ParsedLine<TraceArrival | TraceFault> {
  return line.includes('"kind"') ? parseLine(line, faultSchema) : parseLine(line, arrivalSchema);
}

function parseLine<T>(line: string, schema: z.ZodType<T>): ParsedLine<T> {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    return { kind: "faulty", message: `Found what is not JSON: ${line.slice(0, 60)}` };
  }
  const result = schema.safeParse(value);
  if (result.success) return { kind: "parsed", value: result.data };
  const [issue] = result.error.issues;
  const path = issue?.path.join(".") ?? "";
  return { kind: "faulty", message: `${path}: ${issue?.message ?? "Invalid."}` };
}

/** Names that the header doesn't define would otherwise show only as requests that nobody serves. */
function findUnknownName(
  { deployment }: z.infer<typeof headerSchema>,
  event: TraceArrival | TraceFault,
): string | undefined {
  const unknown = (kind: string, name: string): string =>
    `Found the ${kind} "${name}", which the header doesn't define.`;
  if (!("kind" in event)) {
    if (!(event.s in deployment.services)) return unknown("service", event.s);
    return event.a in deployment.accounts ? undefined : unknown("account", event.a);
  }
  if (event.kind === "preset") {
    return event.preset in deployment.presets ? undefined : unknown("preset", event.preset);
  }
  const zone = "zone" in event ? event.zone : undefined;
  if (zone !== undefined && !deployment.zones.includes(zone)) return unknown("zone", zone);
  const service = "service" in event ? event.service : undefined;
  const isKnown = service === undefined || service in deployment.services;
  return isKnown ? undefined : unknown("service", service);
}
