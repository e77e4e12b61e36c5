import { z } from "zod";
import { MemberState, WorkerState } from "../interface/index.ts";

const conflict = z.object({
  path: z.string(),
  base: z.unknown().optional(),
  ours: z.unknown().optional(),
  theirs: z.unknown().optional(),
});

/** The outcome of a configuration change, as sent to an operator; each kind has its own HTTP status. */
export const changeOutcomeMessage = z.discriminatedUnion("kind", [
  /** Status 200: the change is in force, at the latest from this revision on. */
  z.object({
    kind: z.literal("accepted"),
    change: z.string(),
    revision: z.number().int(),
    /** Only with `?wait=1`: whether all live instances had the revision in force when the wait ended. */
    everywhere: z.boolean().optional(),
  }),
  /** Status 422: the change was rejected and will not take effect. */
  z.object({ kind: z.literal("refused"), change: z.string(), reasons: z.array(z.string()) }),
  /** Status 409: conflicts with another change; `ours` is the requested value, `theirs` the one in force. */
  z.object({
    kind: z.literal("conflict"),
    change: z.string(),
    revision: z.number().int(),
    conflicts: z.array(conflict),
  }),
  /** Status 202: the store's response was lost; `GET /v1/operator/changes/CHANGE` returns the outcome. */
  z.object({ kind: z.literal("unknown"), change: z.string(), detail: z.string() }),
]);
/** The outcome of a configuration change, as sent to an operator. */
export type ChangeOutcomeMessage = z.infer<typeof changeOutcomeMessage>;

/** Body of `PUT /v1/operator/deployment`. */
export const deploymentRequestMessage = z.strictObject({
  /** The deployment document, with the content of its file. */
  source: z.unknown(),
  /** The revision on which the document is based; if absent, the one in force. */
  base: z.number().int().positive().exactOptional(),
  /** A unique id of this change; if absent, the instance generates one. */
  change: z.string().min(8).max(64).exactOptional(),
});

/** Body of `PUT /v1/operator/preset/NAME`; the body may be empty. */
export const presetRequestMessage = deploymentRequestMessage.omit({ source: true });

/** Response to `GET /v1/operator/status`. */
export const statusMessage = z.object({
  /** Member id of the responding instance. */
  instance: z.string(),
  /** The revision in force at the responding instance; 0 if it has none. */
  revision: z.number().int(),
  preset: z.string(),
  slotMap: z.number().int(),
  /** Whether the instance has had no contact with the store or any peer for too long. */
  cutOff: z.boolean(),
  /** Requests owned by the responding instance that haven't ended. */
  inProgress: z.number().int(),
  instances: z.array(
    z.object({
      id: z.string(),
      zone: z.string(),
      callers: z.string(),
      state: z.enum(MemberState),
      /** Versions in force at that instance; absent if it didn't respond. */
      revision: z.number().int().optional(),
      slotMap: z.number().int().optional(),
      /** Number of slots whose primary or backup the instance is. */
      primaryOf: z.number().int(),
      backupOf: z.number().int(),
    }),
  ),
  /** Number of slots without a primary, without a backup, and with lost history. */
  slots: z.object({
    unassigned: z.number().int(),
    withoutBackup: z.number().int(),
    historyLost: z.number().int(),
  }),
  /** Ids of backend servers that accept no new requests. */
  leaving: z.array(z.string()),
  /** Rejections by reason and retries by cause, of the responding instance since its start. */
  refusals: z.record(z.string(), z.number()),
  retries: z.record(z.string(), z.number()),
});
/** Response to `GET /v1/operator/status`. */
export type StatusMessage = z.infer<typeof statusMessage>;

/** Response to `GET /v1/operator/services`. */
export const servicesMessage = z.object({
  revision: z.number().int(),
  preset: z.string(),
  presets: z.array(z.object({ name: z.string(), about: z.string(), inForce: z.boolean() })),
  services: z.array(
    z.object({
      name: z.string(),
      kind: z.enum(["model", "plain"]),
      models: z.array(z.string()),
      paused: z.boolean(),
      /** Minimum and maximum number of workers, from the preset in force. */
      least: z.number().int(),
      most: z.number().int(),
      /** Number of workers by state. */
      workers: z.partialRecord(z.enum(WorkerState), z.number().int()),
    }),
  ),
});
/** Response to `GET /v1/operator/services`. */
export type ServicesMessage = z.infer<typeof servicesMessage>;

/**
 * Response to `POST /v1/operator/drain/INSTANCE`: status 202 if the instance is draining, 404 if it is
 * unknown, and 503 if it couldn't be reached or didn't accept the order.
 */
export const drainMessage = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("draining"), instance: z.string() }),
  z.object({ kind: z.literal("unknown-instance"), instance: z.string() }),
  z.object({ kind: z.literal("unreachable"), instance: z.string(), detail: z.string() }),
]);
/** Response to `POST /v1/operator/drain/INSTANCE`. */
export type DrainMessage = z.infer<typeof drainMessage>;

/** Response to `GET /v1/operator/requests/ID`. */
export const requestMessage = z.object({
  id: z.string(),
  account: z.string(),
  service: z.string(),
  state: z.string(),
  reason: z.string(),
  detail: z.string(),
  slot: z.number().int(),
  /** Member ids of the slot's primary and backup, according to the responding instance's slot map. */
  owner: z.string(),
  backup: z.string(),
  attempt: z.number().int(),
  worker: z.string(),
  /** Number of tokens generated so far. */
  tokens: z.number().int(),
  /** Calendar times, in milliseconds since the Unix epoch. */
  acceptedAt: z.number(),
  deadlineAt: z.number(),
});
/** Response to `GET /v1/operator/requests/ID`. */
export type RequestMessage = z.infer<typeof requestMessage>;
