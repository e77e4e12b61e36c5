import { z } from "zod";
import { crossFaults } from "./deployment_names.ts";
import { duration, price } from "./unit.ts";

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "Expected a name of a-z, 0-9 and -, at most 63 long.");

const share = z.number().min(0).max(1);

const target = z.strictObject({
  /** 95 in 100 first tokens arrive within this. */
  firstToken: duration,
  /** 95 in 100 gaps between tokens are at most this. */
  betweenTokens: duration,
  /** How long a request may take when the caller names no deadline. */
  deadline: duration,
});

const model = z.strictObject({
  name,
  version: z.string().min(1),
  adapters: z.array(name).default([]),
  /** What the model weighs, for the weight store's rate limit. */
  weights: z.number().positive(),
});

const service = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("model"),
    models: z.array(model).min(1),
    /** Whether a request may be sent again when the caller says nothing. */
    repeatable: z.boolean(),
    /** Whether the service's backend servers refuse orders with an old fencing number. */
    checksFence: z.boolean(),
    /** Which lane requests go in when the caller says nothing. */
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
  /** SHA-256 of the account's key, in hex: the key itself is in no document. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, "Expected 64 hex digits, the SHA-256 of the key."),
  /** The account's part of a contended service, against the others' weights. */
  weight: z.number().positive(),
  /** Requests accepted and not ended. */
  maxRequests: z.number().int().positive(),
  /** Tokens of work accepted and not ended. */
  maxTokens: z.number().int().positive(),
  services: z.array(name).min(1),
});

const capacity = z.strictObject({
  /** Fewest and most workers of the service. */
  least: z.number().int().min(0),
  most: z.number().int().min(0),
  /** Greatest part of the workers that may be reclaimable. */
  reclaimable: share,
});

const preset = z.strictObject({
  /** What the preset is for, in a sentence for operators. */
  about: z.string(),
  services: z.record(name, capacity),
  /** Services that take no new work while the preset is in force, finishing what they have. */
  paused: z.array(name).default([]),
});

const machineClass = z.strictObject({
  /** Tokens generated a second by a full batch. */
  tokensPerSecond: z.number().positive(),
  /** Prompt tokens computed a second. */
  prefillPerSecond: z.number().positive(),
  /** Tokens of KV cache. */
  cacheTokens: z.number().int().positive(),
  /** From launch to taking work, model loading not included. */
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
 * The deployment document as it stands in a file: see `samphireshore init` for a commented one. Faults of
 * single values and of names across the document are found in one go.
 */
export const deploymentSchema: z.ZodType<Deployment> = z.unknown().transform((source, context) => {
  for (const { path, message } of crossFaults(source)) {
    context.addIssue({ code: "custom", path: [...path], message });
  }
  const shaped = document.safeParse(source);
  if (shaped.success) return shaped.data;
  for (const issue of shaped.error.issues) {
    context.issues.push({ input: source, ...issue } as z.core.$ZodRawIssue);
  }
  return z.NEVER;
});

/** A deployment, checked. Times are in milliseconds, prices in euros an hour. */
export type Deployment = z.infer<typeof document>;
/** One service of a deployment. */
export type Service = z.infer<typeof service>;
/** One client account of a deployment. */
export type Account = z.infer<typeof account>;
/** What an operator switches between. */
export type Preset = z.infer<typeof preset>;
/** What a machine class can do. */
export type MachineClass = z.infer<typeof machineClass>;
/** Prices of a machine class in an availability zone, in euros an hour. */
export type Offer = z.infer<typeof offer>;
/** A service's latency target, in milliseconds. */
export type Target = z.infer<typeof target>;
