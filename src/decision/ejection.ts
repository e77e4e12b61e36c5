/**
 * Selects slow or failing workers that receive no work for a while.
 *
 * Load: one backend server among many is slow or returns errors, while the service as a whole is
 * healthy. It finishes failing requests quickly, so it always looks idle and attracts the most
 * work. Symptom: a fraction of errors or late answers that matches one worker's fraction of the
 * load.
 *
 * Mechanism: a worker is compared with its peers, not with a fixed time. If all are slow, the cause
 * is the load or the model, and removing workers would make it worse. A worker is ejected if its
 * median gap between tokens is more than twice its peers' median and above the target (below the
 * target it does no harm), or if more than half of its runs fail while its peers' median failure
 * rate is below half of that rate. At most a fifth of a service's workers are ejected at once,
 * because the rest cannot carry more when they run at four fifths of their capacity. The comparison
 * of gaps needs at least three peers with a known gap, the smallest number whose median one bad peer
 * cannot shift. The comparison of failure rates has no such minimum: peers with fewer than five runs
 * are left out, and if none is left, the peers' median counts as 0.
 *
 * A worker returns after 10 s, doubled with each consecutive ejection up to 5 min. It starts with a
 * tenth of its limit, which grows to the whole limit within 30 s: long enough to judge it by 20 new
 * gaps before it can harm many requests. Connections that went silent do not count here: something
 * between the two ends lost the connection, and new connections to the same server work.
 *
 * @module
 */

/** Measurements of one worker, compared with those of its peers in the same service. */
export interface PeerStats {
  readonly worker: string;
  /** Median milliseconds between two tokens; undefined if there are too few samples. */
  readonly tokenGap: number | undefined;
  /** Number of finished runs, with older runs weighted less, and how many of them failed. */
  readonly runs: number;
  readonly failures: number;
  readonly isEjected: boolean;
}

/**
 * The end of a worker's latest ejection in milliseconds, and the number of consecutive ejections.
 */
export interface EjectionState {
  readonly until: number;
  readonly count: number;
}

const SLOW_FACTOR = 2;
const MAX_FAILURE_RATE = 0.5;
const MIN_RUNS = 5;
const MIN_PEERS = 3;
const MAX_EJECTED_FRACTION = 0.2;
const BASE_EJECTION_TIME = 10_000;
const MAX_EJECTION_TIME = 300_000;
const SLOW_START_DURATION = 30_000;
const SLOW_START_FRACTION = 0.1;
/** Milliseconds without ejection after which the next one lasts the shortest time again. */
const BACKOFF_RESET_TIME = 600_000;

/**
 * Selects the workers of one service to eject now.
 *
 * @param peers All live workers of the service.
 * @param options `gapTarget` is the service's target for the time between tokens, in milliseconds.
 * @returns The IDs of the workers to eject, the worst first.
 */
export function chooseEjections(
  peers: readonly PeerStats[],
  { gapTarget }: { gapTarget: number },
): string[] {
  const ejectedCount = peers.filter(({ isEjected }) => isEjected).length;
  const maxEjections = Math.floor(peers.length * MAX_EJECTED_FRACTION) - ejectedCount;
  if (maxEjections <= 0 || peers.length <= MIN_PEERS) return [];
  const candidates = peers.filter(({ isEjected }) => !isEjected);
  const scored = candidates.map((peer) => ({
    worker: peer.worker,
    severity: severityOf(peer, candidates),
  }));
  const outliers = scored.filter((fault) => fault.severity(gapTarget) > 1);
  outliers.sort((a, b) => b.severity(gapTarget) - a.severity(gapTarget));
  return outliers.slice(0, maxEjections).map(({ worker }) => worker);
}

/** Returns how far a worker exceeds its peers; a value above 1 justifies an ejection. */
function severityOf(peer: PeerStats, all: readonly PeerStats[]): (gapTarget: number) => number {
  const otherPeers = all.filter(({ worker }) => worker !== peer.worker);
  const gaps = otherPeers
    .map(({ tokenGap }) => tokenGap)
    .filter((tokenGap) => tokenGap !== undefined);
  const rates = otherPeers.map(failureRate).filter((rate) => rate !== undefined);
  const rate = failureRate(peer);
  const failureSeverity =
    rate !== undefined && rate > 2 * median(rates) ? rate / MAX_FAILURE_RATE : 0;
  return (gapTarget) => {
    if (peer.tokenGap === undefined || gaps.length < MIN_PEERS || peer.tokenGap <= gapTarget)
      return failureSeverity;
    return Math.max(failureSeverity, peer.tokenGap / (SLOW_FACTOR * median(gaps)));
  };
}

function failureRate({ runs, failures }: PeerStats): number | undefined {
  return runs < MIN_RUNS ? undefined : failures / runs;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Returns the state after another ejection at the time `now`. */
export function nextEjection(before: EjectionState | undefined, now: number): EjectionState {
  const isRecent = before !== undefined && now - before.until < BACKOFF_RESET_TIME;
  const count = isRecent ? before.count + 1 : 1;
  const duration = Math.min(MAX_EJECTION_TIME, BASE_EJECTION_TIME * 2 ** (count - 1));
  return { until: now + duration, count };
}

/** Returns the fraction of its limit, from 0 to 1, that a worker may use: 0 while it is ejected. */
export function activeFraction(state: EjectionState | undefined, now: number): number {
  if (state === undefined) return 1;
  if (now < state.until) return 0;
  return Math.min(
    1,
    SLOW_START_FRACTION + ((1 - SLOW_START_FRACTION) * (now - state.until)) / SLOW_START_DURATION,
  );
}
