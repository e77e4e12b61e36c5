/**
 * Which workers get no work for a while because they are slow or failing.
 *
 * Load that it answers: one backend server among many is slow or answers with errors, while the service as
 * a whole is well. It ends failing requests quickly, so it always looks idle and draws the most work. One
 * would notice a share of errors or of late answers that fits one worker's share of the load.
 *
 * A worker is compared with its peers, not with a fixed time: when all are slow the load or the model is
 * the cause, and taking workers away would make it worse. It is out if its median gap between tokens is
 * over twice its peers' median and above the target (below the target it harms nobody), or if over half of
 * its runs fail while its peers' median share is under half of that. At most a fifth of a service's workers
 * are out at once, because beyond that the others can't carry the load at four fifths of use. The median of
 * three peers is the least that one bad peer can't move.
 *
 * A worker comes back after 10 s, twice as long with each ejection in a row up to 5 min, with a tenth of its
 * limit, growing to all of it in 30 s: long enough to judge it anew on 20 gaps before it has much to spoil.
 * A connection that went silent counts for nothing here: something between the two ends has lost it, and
 * new connections to the same server work.
 *
 * @module
 */

/** What is known of one worker, against its peers of the same service. */
export interface PeerReading {
  readonly worker: string;
  /** Median milliseconds between tokens; undefined where too few were seen. */
  readonly gap: number | undefined;
  /** Runs that ended, old ones with less weight, and how many of them failed. */
  readonly runs: number;
  readonly failures: number;
  readonly isOut: boolean;
}

/** Times a worker was ejected, and until when it is out. */
export interface EjectionState {
  readonly until: number;
  readonly times: number;
}

const SLOW_FACTOR = 2;
const FAILING_PART = 0.5;
const ENOUGH_RUNS = 5;
const LEAST_PEERS = 3;
const GREATEST_PART = 0.2;
const FIRST_TIME_OUT = 10_000;
const GREATEST_TIME_OUT = 300_000;
const SLOW_START = 30_000;
const SLOW_START_FROM = 0.1;
/** A worker that has been well for this long begins again at the shortest time out. */
const FORGIVEN_AFTER = 600_000;

/**
 * Chooses workers of one service to take out now.
 *
 * @param peers All live workers of the service.
 * @param options `gapTarget`: the service's target between tokens, in milliseconds.
 * @returns The ids of workers to take out, the worst first.
 */
export function chooseEjections(
  peers: readonly PeerReading[],
  { gapTarget }: { gapTarget: number },
): string[] {
  const out = peers.filter(({ isOut }) => isOut).length;
  const allowed = Math.floor(peers.length * GREATEST_PART) - out;
  if (allowed <= 0 || peers.length <= LEAST_PEERS) return [];
  const judged = peers.filter(({ isOut }) => !isOut);
  const faults = judged.map((peer) => ({ worker: peer.worker, badness: badness(peer, judged) }));
  const bad = faults.filter((fault) => fault.badness(gapTarget) > 1);
  bad.sort((a, b) => b.badness(gapTarget) - a.badness(gapTarget));
  return bad.slice(0, allowed).map(({ worker }) => worker);
}

/** How far a worker is beyond what is accepted; above 1 it is too far. */
function badness(peer: PeerReading, all: readonly PeerReading[]): (gapTarget: number) => number {
  const others = all.filter(({ worker }) => worker !== peer.worker);
  const gaps = others.map(({ gap }) => gap).filter((gap) => gap !== undefined);
  const parts = others.map(failurePart).filter((part) => part !== undefined);
  const part = failurePart(peer);
  const failing = part !== undefined && part > 2 * median(parts) ? part / FAILING_PART : 0;
  return (gapTarget) => {
    if (peer.gap === undefined || gaps.length < LEAST_PEERS || peer.gap <= gapTarget)
      return failing;
    return Math.max(failing, peer.gap / (SLOW_FACTOR * median(gaps)));
  };
}

function failurePart({ runs, failures }: PeerReading): number | undefined {
  return runs < ENOUGH_RUNS ? undefined : failures / runs;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** The state after one more ejection. */
export function ejectedAgain(before: EjectionState | undefined, now: number): EjectionState {
  const recent = before !== undefined && now - before.until < FORGIVEN_AFTER;
  const times = recent ? before.times + 1 : 1;
  const length = Math.min(GREATEST_TIME_OUT, FIRST_TIME_OUT * 2 ** (times - 1));
  return { until: now + length, times };
}

/** The part of its limit, from 0 to 1, that a worker may use: 0 while it is out. */
export function usablePart(state: EjectionState | undefined, now: number): number {
  if (state === undefined) return 1;
  if (now < state.until) return 0;
  return Math.min(1, SLOW_START_FROM + ((1 - SLOW_START_FROM) * (now - state.until)) / SLOW_START);
}
