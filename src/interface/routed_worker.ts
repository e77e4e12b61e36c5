import type { Purchase } from "./machine.ts";

/** A worker that routed requests can be sent to, as described by its own entry in the store. */
export interface RoutedWorker {
  /**
   * The worker's id, which is sent along with requests. Unlike a `Worker`, it may keep its id when it is
   * restarted.
   */
  readonly id: string;
  /** When the worker started, in Unix milliseconds. It distinguishes workers that have used the same id. */
  readonly startedAt: number;
  readonly service: string;
  /** Version of the worker's software. */
  readonly version: string;
  /** `IP:PORT`. */
  readonly address: string;
  /** Availability zone. */
  readonly zone: string;
  /** Maximum number of requests that it runs concurrently. */
  readonly slots: number;
  readonly purchase: Purchase;
  /** Whether the worker will stop soon and accepts no new requests. */
  readonly isLeaving: boolean;
  /** Milliseconds from its announcement that it leaves until it ends; undefined if unknown. */
  readonly leavesIn: number | undefined;
  /** Milliseconds until the worker has warmed up, at the time of its last report. */
  readonly warmupLeft: number;
}
