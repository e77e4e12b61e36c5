/**
 * Decides what failed attempts to reach a worker say about it.
 *
 * @module
 */
import { DialFailure } from "../interface/index.ts";

/** The failed attempts to open a connection to a worker. */
export interface FailedDials {
  /** How the direct attempt failed. */
  readonly direct: DialFailure;
  /** How the attempt through other instances failed; undefined if none was asked. */
  readonly relayed: DialFailure | undefined;
  /** Whether this instance has lost its direct path to this or other workers. */
  readonly isPathInDoubt: boolean;
}

/**
 * Returns what the attempts say about the worker. A partition looks like the end of the worker to
 * this instance alone, so the finding of other instances comes first. If they have none, a failure
 * says nothing about the worker as long as the path of this instance is in doubt.
 */
export function dialVerdict({ direct, relayed, isPathInDoubt }: FailedDials): DialFailure {
  if (relayed !== undefined && relayed !== DialFailure.NoPath) return relayed;
  return isPathInDoubt ? DialFailure.NoPath : direct;
}
