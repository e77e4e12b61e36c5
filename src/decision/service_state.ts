/**
 * Counts the jobs of one service at this instance: what was admitted, what waits and runs, and how
 * much work was done.
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

/** The waiting jobs of one account, with the weight that was used when they were counted. */
interface AccountWaiting {
  jobs: number;
  work: number;
  /** The part of the work for which callers wait for a first token. */
  interactiveWork: number;
  readonly weight: number;
}

/** The jobs of one lane of a service. */
export interface LaneState {
  /** Jobs that wait, and their tokens of work. */
  waitingJobs: number;
  waitingWork: number;
  /** Waiting jobs by account. */
  readonly byAccount: Map<string, AccountWaiting>;
  /** Sum of the weights of the accounts with waiting work. */
  activeWeight: number;
  /** Jobs that run. */
  running: number;
  /** Recent mean of the number of running jobs, as of `meanAt`. */
  meanRunning: number;
  meanAt: number;
  /** Seconds over which the mean is taken, with less weight for older ones. */
  meanWeight: number;
  /** Tokens of work that arrived. */
  readonly arrivedWork: RateMeter;
  /** Milliseconds from dispatch to first token. */
  readonly firstTokens: QuantileSketch;
}

/** The state of one admitted job. */
interface JobEntry {
  readonly job: Job;
  readonly admittedAt: number;
  readonly predicted: PredictedWait;
  isWaiting: boolean;
  hasBeenPlaced: boolean;
}

/** The jobs of one service. */
export interface ServiceState {
  readonly lanes: Readonly<Record<Lane, LaneState>>;
  /** Tokens of work done. */
  readonly completedWork: RateMeter;
  /** The time up to which capacity is reserved for the retries of refused requests. */
  reservedUntil: number;
  /**
   * Returns the factor that corrects predicted waits of this kind; 1 until enough waits have been
   * measured.
   */
  correction(kind: WaitKind): number;
  /** Counts the work of a request that arrived, admitted or not. */
  recordArrival(arrival: { lane: Lane }, work: number, now: number): void;
  /** Counts an admitted job as waiting. */
  recordAdmission(
    job: Job,
    details: { now: number; predicted: PredictedWait; weight: number },
  ): void;
  /** Counts a waiting job as running. */
  recordPlacement(job: Job, now: number): void;
  /** Counts a running job as waiting again, after its last run ended before the job did. */
  recordReturn(job: Job, weight: number): void;
  /** Removes a job that ended. */
  recordJobEnd(job: Job, now: number): void;
  /** Returns whether the job is counted. */
  has(id: string): boolean;
  /** Returns the present counts and rates. */
  snapshot(service: string, now: number): ServiceSnapshot;
}

/** Number of samples after which the weight of a sample has halved. */
const SAMPLE_HALF_LIFE = 200;
/** Ratios of waits are stored in percent. */
const PERCENT = 100;
/** Minimum number of waits before a correction is computed. */
const MIN_WAITS = 10;
/**
 * Minimum predicted wait, in milliseconds, that a correction is learned from. Shorter waits depend
 * on single runs rather than on the speed, which the correction is for.
 */
const MIN_PREDICTION = { [WaitKind.QueuedWork]: 50, [WaitKind.FreeSlot]: 1 };
/**
 * For queued work this is the percentile of the target, 95 in 100. The wait for a single slot is
 * double its mean as often by chance as it is half of it, so only its median error is corrected.
 */
const CORRECTION_PERCENTILE = { [WaitKind.QueuedWork]: 0.95, [WaitKind.FreeSlot]: 0.5 };
/**
 * Beyond these limits the cause is something other than a wrong speed, and a correction would
 * overshoot.
 */
const MIN_CORRECTION = 0.5;
const MAX_CORRECTION = { [WaitKind.QueuedWork]: 3, [WaitKind.FreeSlot]: 10 };
const MINUTE = 60_000;
/** Milliseconds. Interactive callers arrive in cycles of about a minute. */
const MEAN_HALF_LIFE = 60_000;
/**
 * Seconds. With a longer window, a period in which no job ran would outweigh the jobs that run now.
 */
const MAX_MEAN_WINDOW = 60;
/**
 * Below one lookup of one second every twenty seconds, a reserved slot costs more than it saves.
 */
const MIN_MEAN_RUNNING = 0.05;

/** Creates the state of a service without jobs. */
export function createServiceState(names: readonly Lane[]): ServiceState {
  const lanes = Object.fromEntries(names.map((lane) => [lane, emptyLane()])) as Record<
    Lane,
    LaneState
  >;
  const entries = new Map<string, JobEntry>();
  const completedWork = createRateMeter();
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
    completedWork,
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
        arrivalRate: arrived.rate(now, { span: MINUTE }),
        previousArrivalRate: arrived.rate(now, { span: MINUTE, ago: MINUTE }),
        completionRate: completedWork.rate(now, { span: MINUTE }),
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
 * Returns the number of slots to reserve for lookups, over all entry instances: the mean number of
 * running lookups plus three times its square root. Independent arrivals exceed that at one moment
 * in a thousand.
 */
export function reservedSlots(
  lane: LaneState,
  { now, instances }: { now: number; instances: number },
): number {
  updateMeanRunning(lane, now);
  const mean = lane.meanRunning * instances;
  return mean < MIN_MEAN_RUNNING ? 0 : Math.ceil(mean + 3 * Math.sqrt(mean));
}

/** Updates the mean number of running jobs to the present. */
function updateMeanRunning(lane: LaneState, now: number): void {
  const elapsedSeconds = Math.max(0, now - lane.meanAt) / 1_000;
  const retention = 2 ** ((-elapsedSeconds * 1_000) / MEAN_HALF_LIFE);
  const previousWeight = lane.meanWeight * retention;
  const weight = previousWeight + elapsedSeconds;
  if (weight > 0)
    lane.meanRunning = (lane.meanRunning * previousWeight + lane.running * elapsedSeconds) / weight;
  lane.meanWeight = Math.min(weight, MAX_MEAN_WINDOW);
  lane.meanAt = Math.max(now, lane.meanAt);
}
