import type { PutOutcome } from "./object_store.ts";

/** The state of a rollout order. */
export enum RolloutState {
  Running = "running",
  /** All requests go to the new version. The workers of the old version stop at once. */
  Completed = "completed",
  /** All requests go to the old version. The workers of the new version stop soon. */
  RolledBack = "rolled-back",
}

/** An operator's order to move a service's requests to workers of another version. */
export interface RolloutOrder {
  readonly service: string;
  /** The new version. */
  readonly to: string;
  /** Milliseconds within which the rollout must be completed. */
  readonly duration: number;
}

/** The stored status of a rollout order. */
export interface RolloutStatus {
  readonly state: RolloutState;
  /** The new version of the order that the status belongs to. */
  readonly to: string;
}

/** A rollout order with the last written status, which may belong to an earlier order of the same service. */
export interface RolloutEntry {
  readonly order: RolloutOrder;
  /** The store's version of the entry. It increases with each change of the order or the status. */
  readonly storeVersion: number;
  readonly status: RolloutStatus | undefined;
}

/** A store for the status of rollout orders. */
export interface RolloutStore {
  /** Writes an order's status. The outcome is a conflict if the entry has changed since it was read. */
  setStatus(entry: RolloutEntry, status: RolloutStatus): Promise<PutOutcome>;
}
