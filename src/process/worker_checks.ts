import { ConnectResult } from "../interface/index.ts";
import type { Clock, WorkerEndpoint } from "../interface/index.ts";
import { isPartName } from "../request/index.ts";
import type { RequestFingerprint, WorkerChecks } from "../request/index.ts";
import type { RoutedLog } from "./routed_log.ts";

/** Dependencies of {@linkcode createWorkerChecks}. */
export interface WorkerChecksParts {
  readonly clock: Clock;
  /** Tries to open a connection to a worker. */
  readonly tryConnect: (worker: WorkerEndpoint) => Promise<ConnectResult>;
  /** Whether the worker was leaving or no longer registered, which explains its end. */
  readonly isLeaving: (worker: WorkerEndpoint) => boolean;
  readonly log: Pick<RoutedLog, "changed">;
  /** Called when a worker that wasn't leaving has ended, with what may have crashed it, without duplicates. */
  readonly onEnded: (worker: WorkerEndpoint, suspects: readonly RequestFingerprint[]) => void;
}

/** Time for which a worker's end is remembered, in milliseconds: its last connections break during this time. */
const ENDED_TTL = 1_000;
/** Maximum number of fingerprints in a log line. */
const MAX_LOGGED_FINGERPRINTS = 24;

/**
 * Creates the checks that find out whether a worker has ended after a connection to it broke.
 *
 * A connection breaks when its worker ends, when the network fails, and when the worker resets it. Only in the first
 * case may a request be the cause, and only then the worker's address refuses connections. When a leaving worker ends,
 * the requests that it was running are not the cause.
 */
export function createWorkerChecks(parts: WorkerChecksParts): WorkerChecks {
  const { clock, tryConnect, log, onEnded } = parts;
  /** By worker being checked, what may have crashed it. */
  const pending = new Map<string, Map<string, RequestFingerprint>>();
  /** Clock time at which each recently ended worker was found to have ended, by worker id. */
  const endedAt = new Map<string, number>();

  const hasEnded = ({ id }: WorkerEndpoint): boolean =>
    clock.now() - (endedAt.get(id) ?? -Infinity) < ENDED_TTL;
  const check = async (worker: WorkerEndpoint): Promise<void> => {
    const isLeaving = parts.isLeaving(worker);
    const found = hasEnded(worker) ? ConnectResult.Refused : await tryConnect(worker);
    const fingerprints = [...(pending.get(worker.id)?.values() ?? [])];
    pending.delete(worker.id);
    const names = fingerprints.slice(0, MAX_LOGGED_FINGERPRINTS).map(({ name }) => name);
    log.changed("worker-checked", {
      worker: worker.id,
      found,
      runs: fingerprints.filter(({ name }) => !isPartName(name)).length,
      leaving: isLeaving,
      prints: names.join(" "),
    });
    if (found !== ConnectResult.Refused) return;
    dropExpired();
    if (!hasEnded(worker)) endedAt.set(worker.id, clock.now());
    if (!isLeaving) onEnded(worker, fingerprints);
  };
  const dropExpired = (): void => {
    const cutoff = clock.now() - ENDED_TTL;
    for (const [id, at] of endedAt) if (at < cutoff) endedAt.delete(id);
  };
  return {
    reportBrokenConnection: (worker, suspects) => {
      const known = pending.get(worker.id);
      const found = known ?? new Map<string, RequestFingerprint>();
      for (const suspect of suspects) found.set(suspect.name, suspect);
      if (known !== undefined) return;
      pending.set(worker.id, found);
      void check(worker);
    },
  };
}
