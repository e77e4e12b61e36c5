import type { Purchase } from "./machine.ts";

/** A worker that routed requests can be sent to, as it says of itself. */
export interface RoutedWorker {
  /** Names it towards the worker itself; a restarted worker may have the same. */
  readonly id: string;
  /** Tells a worker from the one that ran under the same id before. */
  readonly born: number;
  readonly service: string;
  /** The version of its software. */
  readonly version: string;
  /** `IP:PORT`. */
  readonly address: string;
  /** Availability zone. */
  readonly zone: string;
  readonly slots: number;
  readonly purchase: Purchase;
  /** Whether it has said that it stops soon and takes nothing new. */
  readonly isLeaving: boolean;
  /** Milliseconds from when it said so until it ends, where it knows. */
  readonly leavesIn: number | undefined;
  /** Milliseconds for which it was still slow when it last said so. */
  readonly coldFor: number;
}
