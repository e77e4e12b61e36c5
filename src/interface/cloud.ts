import type { Purchase, Worker } from "./machine.ts";

/** A request to the cloud for one new machine. */
export interface Launch {
  /** Idempotency token, derived from service, place and generation. A repeated token never launches a second machine. */
  readonly token: string;
  readonly service: string;
  readonly zone: string;
  readonly machineClass: string;
  readonly purchase: Purchase;
}

/** The cloud's response to a launch. With `unknown`, the machine may have been launched. */
export type LaunchOutcome =
  | { readonly kind: "launched"; readonly instance: string }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "unknown"; readonly detail: string };

/** A notice that the cloud will reclaim a machine. */
export interface Notice {
  /** The worker's id or the entry instance's name. */
  readonly instance: string;
  /** Milliseconds from now until the machine is reclaimed. */
  readonly within: number;
}

/** The cloud API. */
export interface Cloud {
  /** Requests a new machine. */
  launch(launch: Launch): Promise<LaunchOutcome>;
  /** Terminates a machine. */
  terminate(instance: string): Promise<void>;
  /** Returns the active reclaim notices for entry instances and workers. */
  notices(): Promise<readonly Notice[]>;
}

/** The platform's list of live and leaving workers. It is updated with a delay. */
export interface InstanceList {
  /** Fetches the current list. */
  workers(): Promise<readonly Worker[]>;
}
