import type { Purchase } from "./machine.ts";

/** Who makes a call that only one instance at a time may make. */
export interface DutyHolder {
  readonly holder: string;
  /** Grows whenever the holder changes. */
  readonly fence: number;
}

/**
 * How long such a call may take before its answer counts as lost, in milliseconds. A holder begins none that could
 * outlast its lease, so whoever makes the call and whoever judges the lease must go by the same time.
 */
export const DUTY_CALL_TIME = 1_000;

/** How many workers of one service there are to be in one availability zone, bought one way. */
export interface WorkerOrder {
  readonly service: string;
  readonly zone: string;
  readonly purchase: Purchase;
  readonly count: number;
}

/** How the platform took a call. */
export type CallOutcome =
  | { readonly kind: "accepted" }
  /** There are none to be had at the moment. */
  | { readonly kind: "none-available" }
  /** Certainly not done: it may be sent again. */
  | { readonly kind: "rejected"; readonly status: number }
  /** It may have been done. */
  | { readonly kind: "unknown"; readonly detail: string };

/** The platform's calls that are made by one instance at a time. */
export interface Platform {
  orderWorkers(order: WorkerOrder, by: DutyHolder): Promise<CallOutcome>;
  /** Reports how many runs of each account began in a window; the same report may be sent again. */
  reportUsage(
    report: { window: number; counts: Readonly<Record<string, number>> },
    by: DutyHolder,
  ): Promise<CallOutcome>;
}
