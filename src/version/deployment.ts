import { z } from "zod";
import { findCrossFieldErrors } from "./cross_field_errors.ts";
import { duration, price } from "./unit.ts";

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    "Expected a name of at most 63 characters from a-z, 0-9 and -, not starting with -.",
  );

const share = z.number().min(0).max(1);

const target = z.strictObject({
  /** Target for the 95th percentile of the time to the first token. */
  firstToken: duration,
  /** Target for the 95th percentile of the time between two tokens. */
  betweenTokens: duration,
  /** The deadline of requests that don't state one. */
  deadline: duration,
});

const model = z.strictObject({
  name,
  version: z.string().min(1),
  adapters: z.array(name).default([]),
  /** Size of the model's weights; loading them is subject to the weight store's rate limit. */
  weights: z.number().positive(),
});

const service = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("model"),
    models: z.array(model).min(1),
    /** Whether a request may be retried, unless the caller specifies it. */
    repeatable: z.boolean(),
    /** Whether the service's backend servers reject requests and orders with an outdated fencing token. */
    checksFence: z.boolean(),
    /** The queue lane of requests, unless the caller specifies one. */
    lane: z.enum(["lookup", "script"]),
    target,
  }),
  z.strictObject({
    kind: z.literal("plain"),
    repeatable: z.boolean(),
    checksFence: z.boolean(),
    lane: z.enum(["lookup", "script"]),
    target,
  }),
]);

const account = z.strictObject({
  /** SHA-256 of the account's key, in hex. The key itself is never stored in a document. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, "Expected 64 hex digits, the SHA-256 of the key."),
  /** The account's share of an overloaded service, relative to the weights of other accounts. */
  weight: z.number().positive(),
  /** The maximum number of requests in progress. */
  maxRequests: z.number().int().positive(),
  /** The maximum number of tokens of all requests in progress. */
  maxTokens: z.number().int().positive(),
  /** The services that the account may use. */
  services: z.array(name).min(1),
});

const capacity = z.strictObject({
  /** The minimum number of workers of the service. */
  least: z.number().int().min(0),
  /** The maximum number of workers of the service. */
  most: z.number().int().min(0),
  /** The maximum share of the workers that may be reclaimable. */
  reclaimable: share,
});

const preset = z.strictObject({
  /** A description of the preset for operators, in one sentence. */
  about: z.string(),
  services: z.record(name, capacity),
  /** Services that accept no new requests while the preset is active. They finish the requests in progress. */
  paused: z.array(name).default([]),
});

const machineClass = z.strictObject({
  /** Tokens that a full batch generates per second. */
  tokensPerSecond: z.number().positive(),
  /** Prompt tokens processed per second. */
  prefillPerSecond: z.number().positive(),
  /** Capacity of the KV cache in tokens. */
  cacheTokens: z.number().int().positive(),
  /** Time from the launch until the machine accepts work, without the loading of models. */
  startUp: duration,
});

const offer = z.strictObject({
  zone: name,
  machineClass: name,
  reclaimable: price,
  onDemand: price,
});

const document = z.strictObject({
  deployment: name,
  region: name,
  zones: z.array(name).min(1),
  services: z.record(name, service),
  accounts: z.record(name, account),
  machineClasses: z.record(name, machineClass),
  offers: z.array(offer).min(1),
  presets: z.record(name, preset),
});

/**
 * The schema of the deployment document; `samphireshore init` writes an annotated example. One parse reports both
 * invalid values and names that the document doesn't define.
 */
export const deploymentSchema: z.ZodType<Deployment> = z.unknown().transform((source, context) => {
  for (const { path, message } of findCrossFieldErrors(source)) {
    context.addIssue({ code: "custom", path: [...path], message });
  }
  const shaped = document.safeParse(source);
  if (shaped.success) return shaped.data;
  for (const issue of shaped.error.issues) {
    context.issues.push({ input: source, ...issue } as z.core.$ZodRawIssue);
  }
  return z.NEVER;
});

/** A validated deployment. Times are in milliseconds, prices in euros per hour. */
export type Deployment = z.infer<typeof document>;
/** One service of a deployment. */
export type Service = z.infer<typeof service>;
/** One client account of a deployment. */
export type Account = z.infer<typeof account>;
/** A named set of capacity limits. Exactly one preset is active; operators switch between them. */
export type Preset = z.infer<typeof preset>;
/** The performance of a machine class. */
export type MachineClass = z.infer<typeof machineClass>;
/** Prices of a machine class in an availability zone, in euros per hour. */
export type Offer = z.infer<typeof offer>;
/** A service's latency target, in milliseconds. */
export type Target = z.infer<typeof target>;
