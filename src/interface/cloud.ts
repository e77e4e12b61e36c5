import type { Purchase, Worker } from "./machine.ts";

/** What is asked of the cloud for one new instance. */
export interface Launch {
  /** Derived from service, place and generation: the same token is the same instance, asked for twice. */
  readonly token: string;
  readonly service: string;
  readonly zone: string;
  readonly machineClass: string;
  readonly purchase: Purchase;
}

/** How the cloud answered a launch. */
export type LaunchOutcome =
  | { readonly kind: "launched"; readonly instance: string }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "unknown"; readonly detail: string };

/** A notice that the cloud takes an instance back. */
export interface Notice {
  /** Worker id or entry instance name. */
  readonly instance: string;
  /** Milliseconds from now until it is taken. */
  readonly within: number;
}

/** The cloud API. */
export interface Cloud {
  launch(launch: Launch): Promise<LaunchOutcome>;
  terminate(instance: string): Promise<void>;
  /** Notices still standing, entry instances and workers alike. */
  notices(): Promise<readonly Notice[]>;
}

/** The platform's list of live and leaving workers: it lags. */
export interface InstanceList {
  workers(): Promise<readonly Worker[]>;
}
