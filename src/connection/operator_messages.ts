import { z } from "zod";
import { MemberState, WorkerState } from "../interface/index.ts";

const conflict = z.object({
  path: z.string(),
  base: z.unknown().optional(),
  ours: z.unknown().optional(),
  theirs: z.unknown().optional(),
});

/** What an operator is told of a change: exactly one of these, with the HTTP status of each. */
export const changeOutcomeMessage = z.discriminatedUnion("kind", [
  /** 200. In force from this revision at the latest. */
  z.object({
    kind: z.literal("accepted"),
    change: z.string(),
    revision: z.number().int(),
    /** Only with `?wait=1`: whether every live instance had it in force when the wait ended. */
    everywhere: z.boolean().optional(),
  }),
  /** 422. Not in force, now or later. */
  z.object({ kind: z.literal("refused"), change: z.string(), reasons: z.array(z.string()) }),
  /** 409. Another change touches the same places: ours is what was asked for, theirs is in force. */
  z.object({
    kind: z.literal("conflict"),
    change: z.string(),
    revision: z.number().int(),
    conflicts: z.array(conflict),
  }),
  /** 202. The answer was lost: `GET /v1/operator/changes/CHANGE` tells more. */
  z.object({ kind: z.literal("unknown"), change: z.string(), detail: z.string() }),
]);
/** What an operator is told of a change. */
export type ChangeOutcomeMessage = z.infer<typeof changeOutcomeMessage>;

/** Body of `PUT /v1/operator/deployment`. */
export const deploymentMessage = z.strictObject({
  /** The deployment document, as its file has it. */
  source: z.unknown(),
  /** The revision that the document was edited from; the one in force when absent. */
  base: z.number().int().positive().exactOptional(),
  /** A unique id of this change; drawn by the instance when absent. */
  change: z.string().min(8).max(64).exactOptional(),
});

/** Body of `PUT /v1/operator/preset/NAME`; it may be empty. */
export const presetMessage = deploymentMessage.omit({ source: true });

/** Answer of `GET /v1/operator/status`. */
export const statusMessage = z.object({
  /** Member id of the instance that answers. */
  instance: z.string(),
  /** What is in force at it. */
  revision: z.number().int(),
  preset: z.string(),
  slotMap: z.number().int(),
  cutOff: z.boolean(),
  inProgress: z.number().int(),
  instances: z.array(
    z.object({
      id: z.string(),
      zone: z.string(),
      callers: z.string(),
      state: z.enum(MemberState),
      /** Versions in force there; absent where it didn't answer. */
      revision: z.number().int().optional(),
      slotMap: z.number().int().optional(),
      primaryOf: z.number().int(),
      backupOf: z.number().int(),
    }),
  ),
  slots: z.object({
    unassigned: z.number().int(),
    withoutBackup: z.number().int(),
    historyLost: z.number().int(),
  }),
  /** Ids of backend servers that take nothing new. */
  leaving: z.array(z.string()),
  /** Of the instance that answers, since its start. */
  refusals: z.record(z.string(), z.number()),
  retries: z.record(z.string(), z.number()),
});
/** Answer of `GET /v1/operator/status`. */
export type StatusMessage = z.infer<typeof statusMessage>;

/** Answer of `GET /v1/operator/services`. */
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
      least: z.number().int(),
      most: z.number().int(),
      workers: z.partialRecord(z.enum(WorkerState), z.number().int()),
    }),
  ),
});
/** Answer of `GET /v1/operator/services`. */
export type ServicesMessage = z.infer<typeof servicesMessage>;

/** Answer of `POST /v1/operator/drain/INSTANCE`: 202 when it drains, 404 where nobody knows it. */
export const drainMessage = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("draining"), instance: z.string() }),
  z.object({ kind: z.literal("unknown-instance"), instance: z.string() }),
  z.object({ kind: z.literal("unreachable"), instance: z.string(), detail: z.string() }),
]);
/** Answer of `POST /v1/operator/drain/INSTANCE`. */
export type DrainMessage = z.infer<typeof drainMessage>;

/** Answer of `GET /v1/operator/requests/ID`. */
export const requestMessage = z.object({
  id: z.string(),
  account: z.string(),
  service: z.string(),
  state: z.string(),
  reason: z.string(),
  detail: z.string(),
  slot: z.number().int(),
  /** Member ids by the slot map of the instance that answers. */
  owner: z.string(),
  backup: z.string(),
  attempt: z.number().int(),
  worker: z.string(),
  tokens: z.number().int(),
  acceptedAt: z.number(),
  deadlineAt: z.number(),
});
/** Answer of `GET /v1/operator/requests/ID`. */
export type RequestMessage = z.infer<typeof requestMessage>;
