import type { PutOutcome } from "./object_store.ts";

/** How far an order to move a service to another version of its workers has come. */
export enum RolloutState {
  Running = "running",
  /** All requests go to the new version; the old workers stop at once. */
  Completed = "completed",
  /** All requests go to the old version; the new workers stop soon. */
  RolledBack = "rolled-back",
}

/** An operator's order to move a service's requests to another version of its workers. */
export interface RolloutOrder {
  readonly service: string;
  /** The version that the requests are to go to. */
  readonly to: string;
  /** Milliseconds from the order until it is to be completed. */
  readonly duration: number;
}

/** What was said of an order. */
export interface RolloutStatus {
  readonly state: RolloutState;
  /** The version that the order named of which it was said. */
  readonly to: string;
}

/** An order with what was last said, of it or of one that stood in its place before. */
export interface RolloutEntry {
  readonly order: RolloutOrder;
  /** The store's version of the entry: grows with each change of the order or of what was said. */
  readonly storeVersion: number;
  readonly status: RolloutStatus | undefined;
}

/** Where it is said how far orders have come. */
export interface RolloutStore {
  /** Says it of the entry as it is known; a conflict where the entry has changed since. */
  setStatus(entry: RolloutEntry, status: RolloutStatus): Promise<PutOutcome>;
}
