/**
 * The capacity of a service whose accounts have shares, and the queue that it should have.
 *
 * @module
 */
import type { DividedService } from "./share_service.ts";

/** Milliseconds of one step up to which the capacity follows; a longer gap has no observations. */
const MAX_STEP = 1_500;
/**
 * Aimed queue as a fraction of the shortest target. It keeps the workers busy and leaves the rest of the target for
 * errors of the expected wait.
 */
const AIMED_QUEUE = 0.4;
/** Queue below which some workers are idle, so that the work begun is less than the service can do. */
const IDLE_QUEUE = 0.15;
/** Milliseconds in which the capacity follows the work begun, so that short queues or gaps don't count as capacity. */
const CAPACITY_MEMORY = 4_000;
/**
 * Relative growth of the capacity per second while workers are idle. The work begun then shows only
 * what was accepted; faster growth would exceed the capacity before a queue shows it.
 */
const IDLE_GROWTH = 0.2;
/** Bounds of the queue margin, in shortest targets, so that one long queue doesn't refuse everything. */
const MAX_QUEUE_MARGIN = 1;
const MS_PER_SECOND = 1_000;

/** Returns by how much the queue is shorter than aimed at, in shortest targets. */
export function queueMargin({
  queue,
  shortestTarget,
}: Pick<DividedService, "queue" | "shortestTarget">): number {
  const margin = AIMED_QUEUE - queue / shortestTarget;
  return Math.max(-MAX_QUEUE_MARGIN, Math.min(MAX_QUEUE_MARGIN, margin));
}

/** Returns the capacity after some milliseconds under pressure. */
export function capacityAfter(
  {
    capacity,
    use,
    queue,
    shortestTarget,
  }: Pick<DividedService, "capacity" | "use" | "queue" | "shortestTarget">,
  elapsed: number,
): number {
  const time = Math.min(elapsed, MAX_STEP);
  if (queue < shortestTarget * IDLE_QUEUE)
    return Math.max(use, capacity * (1 + (IDLE_GROWTH * time) / MS_PER_SECOND));
  return capacity + ((use - capacity) * time) / CAPACITY_MEMORY;
}
