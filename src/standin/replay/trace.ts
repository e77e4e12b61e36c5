import { z } from "zod";
import { Lane } from "../../decision/index.ts";
import { Purchase } from "../../interface/index.ts";
import { deploymentSchema } from "../../version/index.ts";

const time = z.number().min(0);
const count = z.number().int().min(0);
const share = z.number().min(0).max(1);

/** What must hold after the trace for one service. */
const serviceOutcome = z.strictObject({
  /** Least part of the first tokens that came within the service's target. */
  firstToken: share.optional(),
  /** Least part of the gaps between tokens that were within the service's target. */
  betweenTokens: share.optional(),
  /** Least part of the requests that were answered whole. */
  answered: share.optional(),
  /** Greatest 99th percentile of the time to the first token, in milliseconds. */
  firstTokenP99: z.number().positive().optional(),
});

/** What must hold after the trace. */
const outcomes = z.strictObject({
  /** Most accepted requests that may end without their whole answer. */
  lost: count,
  /** Most tokens that may be computed again. */
  recomputed: count.optional(),
  /** Greatest cost, in euros. */
  cost: z.number().positive().optional(),
  /** Least answer tokens a second of whole and timely answers. */
  goodput: z.number().positive().optional(),
  services: z.record(z.string(), serviceOutcome),
});

const header = z.strictObject({
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
  outcomes,
});

/** One request; short names, since a trace has thousands. */
const arrival = z.strictObject({
  /** When it arrives. */
  t: time,
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
  xt: count.optional(),
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

const fault = z.discriminatedUnion("kind", [
  /** The cloud takes every reclaimable worker of an availability zone, or one worker of a service. */
  z.strictObject({
    kind: z.literal("reclaim"),
    t: time,
    /** Milliseconds of notice. */
    within: time,
    zone: z.string().optional(),
    service: z.string().optional(),
    /** Which of the service's live workers, counted from 0, round and round. */
    index: count.optional(),
  }),
  /** The cloud refuses launches; an absent field stands for all. */
  z.strictObject({
    kind: z.literal("refuse"),
    t: time,
    until: time,
    zone: z.string().optional(),
    machineClass: z.string().optional(),
    purchase: z.enum(Purchase).optional(),
  }),
  /** A worker's steps take `factor` times as long. */
  z.strictObject({
    kind: z.literal("slow"),
    t: time,
    until: time,
    service: z.string(),
    index: count,
    factor: z.number().positive(),
  }),
  z.strictObject({ kind: z.literal("preset"), t: time, preset: z.string() }),
]);

/** A trace's first line. */
type TraceHeader = z.infer<typeof header> & { readonly duration: number };
/** One request of a trace. */
export type TraceArrival = z.infer<typeof arrival>;
/** One fault of a trace. */
export type TraceFault = z.infer<typeof fault>;
/** What a trace states must hold. */
export type Outcomes = z.infer<typeof outcomes>;

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
  const first = parseLine(lines[0] ?? "", header);
  if (first.kind === "faulty") return failure(1, first.message);
  const arrivals: TraceArrival[] = [];
  const faults: TraceFault[] = [];
  for (const [index, line] of lines.entries()) {
    if (index === 0 || line.trim() === "") continue;
    const parsed = parseEvent(line);
    if (parsed.kind === "faulty") return failure(index + 1, parsed.message);
    const message = unknownName(first.value, parsed.value);
    if (message !== undefined) return failure(index + 1, message);
    if ("kind" in parsed.value) faults.push(parsed.value);
    else arrivals.push(parsed.value);
  }
  const byTime = (a: { t: number }, b: { t: number }): number => a.t - b.t;
  arrivals.sort(byTime);
  faults.sort(byTime);
  const lastAt = Math.max(1, arrivals.at(-1)?.t ?? 0, faults.at(-1)?.t ?? 0);
  const { duration = lastAt } = first.value;
  return { kind: "read", trace: { header: { ...first.value, duration }, arrivals, faults } };
}

type Line<T> =
  | { readonly kind: "parsed"; readonly value: T }
  | { readonly kind: "faulty"; readonly message: string };

function parseEvent(line: string): Line<TraceArrival | TraceFault> {
  return line.includes('"kind"') ? parseLine(line, fault) : parseLine(line, arrival);
}

function parseLine<T>(line: string, schema: z.ZodType<T>): Line<T> {
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
function unknownName(
  { deployment }: z.infer<typeof header>,
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
  const known = service === undefined || service in deployment.services;
  return known ? undefined : unknown("service", service);
}
