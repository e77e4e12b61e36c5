import { Reach } from "../interface/index.ts";
import type { Clock, WorkerPlace } from "../interface/index.ts";
import type { RequestPrint, WorkerChecks } from "../request/index.ts";
import type { RoutedLog } from "./routed_log.ts";

/** What the checks are made with. */
export interface WorkerChecksParts {
  readonly clock: Clock;
  readonly reach: (worker: WorkerPlace) => Promise<Reach>;
  /** Whether the worker had said that it leaves, or its entry was gone: then it ended for that. */
  readonly isLeaving: (worker: WorkerPlace) => boolean;
  readonly log: Pick<RoutedLog, "changed">;
  /** The worker ended while it ran these requests, and not because it left; each is named once. */
  readonly onEnded: (worker: WorkerPlace, prints: readonly RequestPrint[]) => void;
}

/** Milliseconds for which a worker that was found to have ended is known to have: the last of its connections break. */
const KNOWN_FOR = 1_000;
/** Requests that the log's line names. */
const LOGGED_PRINTS = 24;

/**
 * Makes checks of workers.
 *
 * A connection breaks when its worker ends, when the way is disturbed, and when a worker resets it. Only the first says
 * something of the requests that ran there, and only then nothing listens at the worker's address any more. A worker that
 * leaves ends with what still runs there: that says nothing of them.
 */
export function createWorkerChecks(parts: WorkerChecksParts): WorkerChecks {
  const { clock, reach, log, onEnded } = parts;
  /** By worker under check, the requests that it was lost with. */
  const pending = new Map<string, Map<string, RequestPrint>>();
  const endedAt = new Map<string, number>();

  const hasEnded = ({ id }: WorkerPlace): boolean =>
    clock.now() - (endedAt.get(id) ?? -Infinity) < KNOWN_FOR;
  const check = async (worker: WorkerPlace): Promise<void> => {
    const isLeaving = parts.isLeaving(worker);
    const found = hasEnded(worker) ? Reach.Refused : await reach(worker);
    const prints = [...(pending.get(worker.id)?.values() ?? [])];
    pending.delete(worker.id);
    const names = prints.slice(0, LOGGED_PRINTS).map(({ name }) => name);
    log.changed("worker-checked", {
      worker: worker.id,
      found,
      runs: prints.length,
      leaving: isLeaving,
      prints: names.join(" "),
    });
    if (found !== Reach.Refused) return;
    forgetOld();
    if (!hasEnded(worker)) endedAt.set(worker.id, clock.now());
    if (!isLeaving) onEnded(worker, prints);
  };
  const forgetOld = (): void => {
    const from = clock.now() - KNOWN_FOR;
    for (const [id, at] of endedAt) if (at < from) endedAt.delete(id);
  };
  return {
    broke: (worker, print) => {
      const known = pending.get(worker.id);
      if (known !== undefined) {
        known.set(print.name, print);
        return;
      }
      pending.set(worker.id, new Map([[print.name, print]]));
      void check(worker);
    },
  };
}
