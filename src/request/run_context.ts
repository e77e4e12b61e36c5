import type { Environment } from "./environment.ts";
import type { LiveRequest } from "./live_request.ts";
import type { Replicator } from "./replicator.ts";
import type { RequestQueue } from "./request_queue.ts";
import type { SlotTable } from "./slot_table.ts";

/** Dependencies shared by the runs of an instance. */
export interface RunContext {
  readonly environment: Environment;
  readonly table: SlotTable;
  readonly replicator: Replicator;
  readonly queue: RequestQueue;
}

/** Returns the milliseconds until the request's deadline; 0 if it has passed. */
export function timeLeft({ environment }: RunContext, live: LiveRequest): number {
  return Math.max(0, live.record.deadlineAt - environment.clock.date().getTime());
}

/** Waits for the promise, but at most until the request is stopped or interrupted. */
export async function unlessStopped<T>(
  live: LiveRequest,
  wait: Promise<T>,
): Promise<T | undefined> {
  let removeListener: (() => void) | undefined;
  const stopped = new Promise<undefined>((resolve) => {
    removeListener = live.onStop(() => resolve(undefined));
  });
  try {
    return await Promise.race([wait, stopped]);
  } finally {
    removeListener?.();
  }
}
