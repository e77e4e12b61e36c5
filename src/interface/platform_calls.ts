import type { Purchase } from "./machine.ts";

/** The holder of the lease under which one instance at a time makes the platform's calls. */
export interface LeaseHolder {
  /** The name of the holder's instance. */
  readonly holder: string;
  /** Fencing token; increases whenever the holder changes. */
  readonly fence: number;
}

/**
 * Milliseconds after which the response to such a call counts as lost. A holder starts no call that could outlast its
 * lease, so the calls' timeout and the check of the lease must use the same value.
 */
export const PLATFORM_CALL_TIMEOUT = 1_000;

/** The desired number of workers of a service in an availability zone, for one kind of purchase. */
export interface WorkerOrder {
  readonly service: string;
  readonly zone: string;
  readonly purchase: Purchase;
  readonly count: number;
}

/** The outcome of a platform call. */
export type CallOutcome =
  | { readonly kind: "accepted" }
  /** The platform currently has no such workers. */
  | { readonly kind: "none-available" }
  /** The platform has not carried out the call; it may be sent again. */
  | { readonly kind: "rejected"; readonly status: number }
  /** The platform may have carried out the call. */
  | { readonly kind: "unknown"; readonly detail: string };

/** The platform calls that only the lease holder makes. */
export interface Platform {
  /** Sets the desired number of workers. */
  orderWorkers(order: WorkerOrder, by: LeaseHolder): Promise<CallOutcome>;
  /** Reports the number of runs that each account started in a window. The same report may be sent again. */
  reportUsage(
    report: { window: number; counts: Readonly<Record<string, number>> },
    by: LeaseHolder,
  ): Promise<CallOutcome>;
}
