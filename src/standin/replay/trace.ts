/**
 * The format of traces for the replay: JSON lines with a header, arrivals and faults.
 *
 * @module
 */
import { z } from "zod";
import { Lane } from "../../decision/index.ts";
import { Purchase } from "../../interface/index.ts";
import { deploymentSchema } from "../../version/index.ts";

const timeSchema = z.number().min(0);
const countSchema = z.number().int().min(0);
const shareSchema = z.number().min(0).max(1);

/** Required outcome of one service. */
const serviceOutcomeSchema = z.strictObject({
  /** Minimum share of first tokens within the service's target. */
  firstToken: shareSchema.optional(),
  /** Minimum share of gaps between tokens within the service's target. */
  betweenTokens: shareSchema.optional(),
  /** Minimum share of requests that are answered completely. */
  answered: shareSchema.optional(),
  /** Maximum of the 99th percentile of the time to first token, in milliseconds. */
  firstTokenP99: z.number().positive().optional(),
});

/** Required outcomes of a replay of the trace. */
const outcomesSchema = z.strictObject({
  /** Maximum number of accepted requests that end without a complete answer. */
  lost: countSchema,
  /** Maximum number of tokens that are computed again. */
  recomputed: countSchema.optional(),
  /** Maximum cost in euros. */
  cost: z.number().positive().optional(),
  /** Minimum answer tokens per second of complete and timely answers. */
  goodput: z.number().positive().optional(),
  services: z.record(z.string(), serviceOutcomeSchema),
});

const headerSchema = z.strictObject({
  kind: z.literal("header"),
  name: z.string().min(1),
  seed: z.number().int(),
  /**
   * Milliseconds that are measured; accepted requests are replayed to their end. If absent, the
   * trace lasts until its last line, because a recorder writes the header before the duration is
   * known.
   */
  duration: z.number().positive().optional(),
  /** Preset that is active at the start. */
  preset: z.string(),
  /** Bytes per second of the weight store, shared by all launches. */
  weightStore: z.number().positive(),
  /** Bytes per second at which a worker under notice exports KV cache. */
  transferRate: z.number().positive(),
  /** Bytes of KV cache per token. */
  bytesPerToken: z.number().positive(),
  /** The deployment document, as read from its file. */
  deployment: deploymentSchema,
  outcomes: outcomesSchema,
});

/** A request. The names are short because a trace has thousands of requests. */
const arrivalSchema = z.strictObject({
  /** Time of arrival in milliseconds. */
  t: timeSchema,
  /** Client account. */
  a: z.string(),
  /** Service. */
  s: z.string(),
  /** Prompt tokens. */
  p: z.number().int().positive(),
  /** Tokens of the whole answer. */
  n: z.number().int().positive(),
  /** Name of the prefix that the prompt shares with others. */
  x: z.string().optional(),
  /** Length of the shared prefix in tokens. */
  xt: countSchema.optional(),
  /** Lane, if it differs from the service's. */
  l: z.enum(Lane).optional(),
  /** The caller's limit on the answer, in tokens. */
  m: z.number().int().positive().optional(),
  /** Whether the request may be repeated, if that differs from the service. */
  r: z.boolean().optional(),
  /** Whether the request is detached, so that no caller waits for the first token. */
  d: z.boolean().optional(),
  /** Milliseconds from the arrival to the deadline, if that differs from the service. */
  dl: z.number().positive().optional(),
});

const faultSchema = z.discriminatedUnion("kind", [
  /**
   * The cloud reclaims all reclaimable workers, optionally of one availability zone, or one worker
   * of a service.
   */
  z.strictObject({
    kind: z.literal("reclaim"),
    t: timeSchema,
    /** Notice in milliseconds. */
    within: timeSchema,
    zone: z.string().optional(),
    service: z.string().optional(),
    /** Index among the service's live workers, from 0, modulo their number. */
    index: countSchema.optional(),
  }),
  /** The cloud refuses launches. An absent field matches everything. */
  z.strictObject({
    kind: z.literal("refuse"),
    t: timeSchema,
    until: timeSchema,
    zone: z.string().optional(),
    machineClass: z.string().optional(),
    purchase: z.enum(Purchase).optional(),
  }),
  /** The steps of a worker take `factor` times as long. */
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

/** The first line of a trace. */
type TraceHeader = z.infer<typeof headerSchema> & { readonly duration: number };
/** A request of a trace. */
export type TraceArrival = z.infer<typeof arrivalSchema>;
/** A fault of a trace. */
export type TraceFault = z.infer<typeof faultSchema>;
/** Outcomes that a trace requires. */
export type ExpectedOutcomes = z.infer<typeof outcomesSchema>;

/** A recorded or generated trace. Arrivals and faults are in order of time. */
export interface Trace {
  readonly header: TraceHeader;
  readonly arrivals: readonly TraceArrival[];
  readonly faults: readonly TraceFault[];
}

/** The first invalid line of a trace. */
interface TraceFailure {
  readonly kind: "unreadable";
  readonly file: string;
  /** Line number, starting at 1. */
  readonly line: number;
  /** Description of the error, such as the value found and the value expected. */
  readonly message: string;
}

/** A trace, or its first invalid line. */
export type TraceResult = { readonly kind: "read"; readonly trace: Trace } | TraceFailure;

/**
 * Parses a trace in JSON lines: the header first, then arrivals and faults in any order.
 *
 * @param text Content of the file.
 * @param file Name of the file, for error messages.
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
  if (headerLine.kind === "invalid") return failure(1, headerLine.message);
  const arrivals: TraceArrival[] = [];
  const faults: TraceFault[] = [];
  for (const [index, line] of lines.entries()) {
    if (index === 0 || line.trim() === "") continue;
    const parsed = parseEvent(line);
    if (parsed.kind === "invalid") return failure(index + 1, parsed.message);
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
  | { readonly kind: "invalid"; readonly message: string };

function parseEvent(line: string): ParsedLine<TraceArrival | TraceFault> {
  return line.includes('"kind"') ? parseLine(line, faultSchema) : parseLine(line, arrivalSchema);
}

function parseLine<T>(line: string, schema: z.ZodType<T>): ParsedLine<T> {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    return { kind: "invalid", message: `Expected JSON, found: ${line.slice(0, 60)}` };
  }
  const result = schema.safeParse(value);
  if (result.success) return { kind: "parsed", value: result.data };
  const [issue] = result.error.issues;
  const path = issue?.path.join(".") ?? "";
  return { kind: "invalid", message: `${path}: ${issue?.message ?? "Invalid."}` };
}

/**
 * Returns an error message if an event contains a name that the header doesn't define. Without this
 * check, such an event would only show as requests that no worker serves.
 */
function findUnknownName(
  { deployment }: z.infer<typeof headerSchema>,
  event: TraceArrival | TraceFault,
): string | undefined {
  const describeUnknown = (kind: string, name: string): string =>
    `Unknown ${kind} "${name}": the header doesn't define it.`;
  if (!("kind" in event)) {
    if (!(event.s in deployment.services)) return describeUnknown("service", event.s);
    return event.a in deployment.accounts ? undefined : describeUnknown("account", event.a);
  }
  if (event.kind === "preset") {
    return event.preset in deployment.presets ? undefined : describeUnknown("preset", event.preset);
  }
  const zone = "zone" in event ? event.zone : undefined;
  if (zone !== undefined && !deployment.zones.includes(zone)) return describeUnknown("zone", zone);
  const service = "service" in event ? event.service : undefined;
  const isKnown = service === undefined || service in deployment.services;
  return isKnown ? undefined : describeUnknown("service", service);
}
