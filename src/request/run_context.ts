import type { Environment } from "./environment.ts";
import type { LiveRequest } from "./live_request.ts";
import type { Replicator } from "./replicator.ts";
import type { RequestQueue } from "./request_queue.ts";
import type { SlotTable } from "./slot_table.ts";

/** What the runs of an instance share. */
export interface RunContext {
  readonly environment: Environment;
  readonly table: SlotTable;
  readonly replicator: Replicator;
  readonly queue: RequestQueue;
}

/** Milliseconds that a request has until its deadline; 0 once it has passed. */
export function timeLeft({ environment }: RunContext, live: LiveRequest): number {
  return Math.max(0, live.record.deadlineAt - environment.clock.date().getTime());
}

/** Waits, but no longer than until the request is stopped. */
export async function unlessStopped<T>(
  live: LiveRequest,
  wait: Promise<T>,
): Promise<T | undefined> {
  let off: (() => void) | undefined;
  const stopped = new Promise<undefined>((resolve) => {
    off = live.onStop(() => resolve(undefined));
  });
  try {
    return await Promise.race([wait, stopped]);
  } finally {
    off?.();
  }
}
