/**
 * The lanes of one service at this instance: what was admitted, waits, runs and was done.
 *
 * @module
 */
import { WaitKind } from "./admission.ts";
import type { PredictedWait } from "./admission.ts";
import type { Job, Lane } from "./job.ts";
import { createQuantileSketch } from "./quantile.ts";
import type { QuantileSketch } from "./quantile.ts";
import { createRateMeter } from "./rate_meter.ts";
import type { RateMeter } from "./rate_meter.ts";
import type { ServiceSnapshot } from "./service_snapshot.ts";

/** What waits of one account, with the weight that it was counted with. */
interface AccountWaiting {
  jobs: number;
  work: number;
  /** The part of the work whose callers addWaiting for a first token. */
  interactiveWork: number;
  readonly weight: number;
}

/** One lane of a service. */
export interface LaneState {
  waitingJobs: number;
  waitingWork: number;
  readonly byAccount: Map<string, AccountWaiting>;
  /** Weights of the accounts with waiting work, summed. */
  activeWeight: number;
  running: number;
  /** How many ran at once on the average lately, as of `meanAt`. */
  meanRunning: number;
  meanAt: number;
  /** Seconds that the mean is taken over, older ones with less weight. */
  meanWeight: number;
  readonly arrivedWork: RateMeter;
  /** Milliseconds from dispatch to first token. */
  readonly firstTokens: QuantileSketch;
}

/** What was done with one admitted job so far. */
interface JobEntry {
  readonly job: Job;
  readonly admittedAt: number;
  readonly predicted: PredictedWait;
  isWaiting: boolean;
  hasBeenPlaced: boolean;
}

/** The lanes of one service. */
export interface ServiceState {
  readonly lanes: Readonly<Record<Lane, LaneState>>;
  /** Tokens of work done. */
  readonly completedWork: RateMeter;
  /** When room is promised until, to requests that were turned away. */
  reservedUntil: number;
  /** The 95th percentile of waits as multiples of their predictions. */
  correction(kind: WaitKind): number;
  recordArrival(arrival: { lane: Lane }, work: number, now: number): void;
  recordAdmission(
    job: Job,
    details: { now: number; predicted: PredictedWait; weight: number },
  ): void;
  /** The job goes to a worker. */
  recordPlacement(job: Job, now: number): void;
  /** The job's last run ended before the job did: it waits again. */
  recordReturn(job: Job, weight: number): void;
  recordJobEnd(job: Job, now: number): void;
  has(id: string): boolean;
  snapshot(service: string, now: number): ServiceSnapshot;
}

const SAMPLE_HALF_LIFE = 200;
const PERCENT = 100;
const MIN_WAITS = 10;
/** Shorter waits are a matter of single turns, not of the speed that a correction is about. */
const MIN_PREDICTION = { [WaitKind.QueuedWork]: 50, [WaitKind.FreeSlot]: 1 };
/**
 * For work ahead that of the target, 95 in 100. A single turn is as often double as half of its mean by
 * chance: only what it is off by on the whole is corrected.
 */
const CORRECTION_PERCENTILE = { [WaitKind.QueuedWork]: 0.95, [WaitKind.FreeSlot]: 0.5 };
/** Beyond these the cause is another than a wrong speed, and a correction would overshoot. */
const MIN_CORRECTION = 0.5;
const MAX_CORRECTION = { [WaitKind.QueuedWork]: 3, [WaitKind.FreeSlot]: 10 };
const MINUTE = 60_000;
/** Callers at a desk come in rounds of about a minute. */
const MEAN_HALF_LIFE = 60_000;
/** Seconds: beyond it, a time in which nothing ran would outweigh what runs now. */
const MAX_MEAN_WINDOW = 60;
/** Below one lookup in twenty seconds of a second each, a place kept free costs more than it saves. */
const MIN_MEAN_RUNNING = 0.05;

/** Opens the lanes of a service. */
export function createServiceState(names: readonly Lane[]): ServiceState {
  const lanes = Object.fromEntries(names.map((lane) => [lane, emptyLane()])) as Record<
    Lane,
    LaneState
  >;
  const entries = new Map<string, JobEntry>();
  const drained = createRateMeter();
  const arrived = createRateMeter();
  const waits = {
    [WaitKind.QueuedWork]: createQuantileSketch(SAMPLE_HALF_LIFE),
    [WaitKind.FreeSlot]: createQuantileSketch(SAMPLE_HALF_LIFE),
  };
  let reservedUntil = 0;

  const addWaiting = (job: Job, weight: number): void => {
    const lane = lanes[job.lane];
    const accountWaiting = lane.byAccount.get(job.account) ?? {
      jobs: 0,
      work: 0,
      interactiveWork: 0,
      weight,
    };
    if (accountWaiting.jobs === 0) lane.activeWeight += weight;
    accountWaiting.jobs++;
    accountWaiting.work += job.estimate.work;
    if (!job.detached) accountWaiting.interactiveWork += job.estimate.work;
    lane.byAccount.set(job.account, accountWaiting);
    lane.waitingJobs++;
    lane.waitingWork += job.estimate.work;
  };
  const removeWaiting = (job: Job): void => {
    const lane = lanes[job.lane];
    const accountWaiting = lane.byAccount.get(job.account);
    if (accountWaiting === undefined) return;
    accountWaiting.jobs--;
    accountWaiting.work -= job.estimate.work;
    if (!job.detached) accountWaiting.interactiveWork -= job.estimate.work;
    lane.waitingJobs--;
    lane.waitingWork = lane.waitingJobs === 0 ? 0 : lane.waitingWork - job.estimate.work;
    if (accountWaiting.jobs > 0) return;
    lane.byAccount.delete(job.account);
    lane.activeWeight = lane.byAccount.size === 0 ? 0 : lane.activeWeight - accountWaiting.weight;
  };
  const recordWait = (entry: JobEntry, now: number): void => {
    const { wait: predicted, kind } = entry.predicted;
    if (predicted < MIN_PREDICTION[kind]) return;
    waits[kind].add((PERCENT * (now - entry.admittedAt)) / predicted);
  };
  return {
    lanes,
    completedWork: drained,
    get reservedUntil() {
      return reservedUntil;
    },
    set reservedUntil(time) {
      reservedUntil = time;
    },
    correction: (kind) => {
      if (waits[kind].count < MIN_WAITS) return 1;
      const ratio = (waits[kind].quantile(CORRECTION_PERCENTILE[kind]) ?? PERCENT) / PERCENT;
      return Math.min(MAX_CORRECTION[kind], Math.max(MIN_CORRECTION, ratio));
    },
    recordArrival: ({ lane }, work, now) => {
      lanes[lane].arrivedWork.add(work, now);
      arrived.add(work, now);
    },
    recordAdmission: (job, { now, predicted, weight }) => {
      const entry = { job, admittedAt: now, predicted, isWaiting: true, hasBeenPlaced: false };
      entries.set(job.id, entry);
      addWaiting(job, weight);
    },
    recordPlacement: (job, now) => {
      const entry = entries.get(job.id);
      if (entry?.isWaiting !== true) return;
      if (!entry.hasBeenPlaced) recordWait(entry, now);
      entry.isWaiting = false;
      entry.hasBeenPlaced = true;
      removeWaiting(entry.job);
      const lane = lanes[job.lane];
      updateMeanRunning(lane, now);
      lane.running++;
    },
    recordReturn: (job, weight) => {
      const entry = entries.get(job.id);
      if (entry === undefined || entry.isWaiting) return;
      entry.isWaiting = true;
      lanes[job.lane].running--;
      addWaiting(entry.job, weight);
    },
    recordJobEnd: (job, now) => {
      const entry = entries.get(job.id);
      if (entry === undefined) return;
      entries.delete(job.id);
      if (entry.isWaiting) {
        removeWaiting(entry.job);
        return;
      }
      updateMeanRunning(lanes[job.lane], now);
      lanes[job.lane].running--;
    },
    has: (id) => entries.has(id),
    snapshot: (service, now) => {
      const all = Object.values(lanes);
      return {
        service,
        waitingJobs: all.reduce((sum, lane) => sum + lane.waitingJobs, 0),
        waitingWork: all.reduce((sum, lane) => sum + lane.waitingWork, 0),
        runningJobs: all.reduce((sum, lane) => sum + lane.running, 0),
        arriving: arrived.rate(now, { span: MINUTE }),
        arrivedBefore: arrived.rate(now, { span: MINUTE, ago: MINUTE }),
        draining: drained.rate(now, { span: MINUTE }),
      };
    },
  };
}

function emptyLane(): LaneState {
  return {
    waitingJobs: 0,
    waitingWork: 0,
    byAccount: new Map(),
    activeWeight: 0,
    running: 0,
    meanRunning: 0,
    meanAt: 0,
    meanWeight: 0,
    arrivedWork: createRateMeter(),
    firstTokens: createQuantileSketch(SAMPLE_HALF_LIFE),
  };
}

/**
 * Places to keep free of scripts, over all entry instances: the lookups that run on the average, and three
 * times the root of it, which independent arrivals exceed in one moment of a thousand.
 */
export function reservedSlots(
  lane: LaneState,
  { now, instances }: { now: number; instances: number },
): number {
  updateMeanRunning(lane, now);
  const mean = lane.meanRunning * instances;
  return mean < MIN_MEAN_RUNNING ? 0 : Math.ceil(mean + 3 * Math.sqrt(mean));
}

/** Brings the mean of what ran at once up to now. */
function updateMeanRunning(lane: LaneState, now: number): void {
  const passed = Math.max(0, now - lane.meanAt) / 1_000;
  const kept = 2 ** ((-passed * 1_000) / MEAN_HALF_LIFE);
  const before = lane.meanWeight * kept;
  const weight = before + passed;
  if (weight > 0) lane.meanRunning = (lane.meanRunning * before + lane.running * passed) / weight;
  lane.meanWeight = Math.min(weight, MAX_MEAN_WINDOW);
  lane.meanAt = Math.max(now, lane.meanAt);
}
