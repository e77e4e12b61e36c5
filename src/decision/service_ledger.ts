/**
 * The books of one service at this instance: what was admitted, waits, runs and was done.
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
  /** The part of the work whose callers wait for a first token. */
  urgent: number;
  readonly weight: number;
}

/** One lane of a service. */
export interface LaneBook {
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
  readonly arrived: RateMeter;
  /** Milliseconds from dispatch to first token. */
  readonly firstTokens: QuantileSketch;
}

/** What was done with one admitted job so far. */
interface JobEntry {
  readonly job: Job;
  readonly admittedAt: number;
  readonly predicted: PredictedWait;
  waiting: boolean;
  everPlaced: boolean;
}

/** The books of one service. */
export interface ServiceLedger {
  readonly lanes: Readonly<Record<Lane, LaneBook>>;
  /** Tokens of work done. */
  readonly drained: RateMeter;
  /** When room is promised until, to requests that were turned away. */
  promisedUntil: number;
  /** The 95th percentile of waits as multiples of their predictions. */
  correction(kind: WaitKind): number;
  offered(arrival: { lane: Lane }, work: number, now: number): void;
  admitted(job: Job, details: { now: number; predicted: PredictedWait; weight: number }): void;
  /** The job goes to a worker. */
  placed(job: Job, now: number): void;
  /** The job's last run ended before the job did: it waits again. */
  returned(job: Job, weight: number): void;
  settled(job: Job, now: number): void;
  has(id: string): boolean;
  snapshot(service: string, now: number): ServiceSnapshot;
}

const HALF_LIFE = 200;
const PERCENT = 100;
const ENOUGH_WAITS = 10;
/** Shorter waits are a matter of single turns, not of the speed that a correction is about. */
const LEAST_PREDICTION = { [WaitKind.Ahead]: 50, [WaitKind.Turn]: 1 };
/**
 * For work ahead that of the target, 95 in 100. A single turn is as often double as half of its mean by
 * chance: only what it is off by on the whole is corrected.
 */
const PERCENTILE = { [WaitKind.Ahead]: 0.95, [WaitKind.Turn]: 0.5 };
/** Beyond these the cause is another than a wrong speed, and a correction would overshoot. */
const LEAST_CORRECTION = 0.5;
const GREATEST_CORRECTION = { [WaitKind.Ahead]: 3, [WaitKind.Turn]: 10 };
const MINUTE = 60_000;
/** Callers at a desk come in rounds of about a minute. */
const MEAN_HALF_LIFE = 60_000;
/** Seconds: beyond it, a time in which nothing ran would outweigh what runs now. */
const LONGEST_MEAN = 60;
/** Below one lookup in twenty seconds of a second each, a place kept free costs more than it saves. */
const LEAST_MEAN = 0.05;

/** Opens the books of a service. */
export function createServiceLedger(lanes: readonly Lane[]): ServiceLedger {
  const books = Object.fromEntries(lanes.map((lane) => [lane, emptyBook()])) as Record<
    Lane,
    LaneBook
  >;
  const entries = new Map<string, JobEntry>();
  const drained = createRateMeter();
  const arrived = createRateMeter();
  const waits = {
    [WaitKind.Ahead]: createQuantileSketch(HALF_LIFE),
    [WaitKind.Turn]: createQuantileSketch(HALF_LIFE),
  };
  let promisedUntil = 0;

  const wait = (job: Job, weight: number): void => {
    const book = books[job.lane];
    const own = book.byAccount.get(job.account) ?? { jobs: 0, work: 0, urgent: 0, weight };
    if (own.jobs === 0) book.activeWeight += weight;
    own.jobs++;
    own.work += job.estimate.work;
    if (!job.detached) own.urgent += job.estimate.work;
    book.byAccount.set(job.account, own);
    book.waitingJobs++;
    book.waitingWork += job.estimate.work;
  };
  const leave = (job: Job): void => {
    const book = books[job.lane];
    const own = book.byAccount.get(job.account);
    if (own === undefined) return;
    own.jobs--;
    own.work -= job.estimate.work;
    if (!job.detached) own.urgent -= job.estimate.work;
    book.waitingJobs--;
    book.waitingWork = book.waitingJobs === 0 ? 0 : book.waitingWork - job.estimate.work;
    if (own.jobs > 0) return;
    book.byAccount.delete(job.account);
    book.activeWeight = book.byAccount.size === 0 ? 0 : book.activeWeight - own.weight;
  };
  const compare = (entry: JobEntry, now: number): void => {
    const { wait: predicted, kind } = entry.predicted;
    if (predicted < LEAST_PREDICTION[kind]) return;
    waits[kind].add((PERCENT * (now - entry.admittedAt)) / predicted);
  };
  return {
    lanes: books,
    drained,
    get promisedUntil() {
      return promisedUntil;
    },
    set promisedUntil(time) {
      promisedUntil = time;
    },
    correction: (kind) => {
      if (waits[kind].count < ENOUGH_WAITS) return 1;
      const ratio = (waits[kind].quantile(PERCENTILE[kind]) ?? PERCENT) / PERCENT;
      return Math.min(GREATEST_CORRECTION[kind], Math.max(LEAST_CORRECTION, ratio));
    },
    offered: ({ lane }, work, now) => {
      books[lane].arrived.add(work, now);
      arrived.add(work, now);
    },
    admitted: (job, { now, predicted, weight }) => {
      const entry = { job, admittedAt: now, predicted, waiting: true, everPlaced: false };
      entries.set(job.id, entry);
      wait(job, weight);
    },
    placed: (job, now) => {
      const entry = entries.get(job.id);
      if (entry?.waiting !== true) return;
      if (!entry.everPlaced) compare(entry, now);
      entry.waiting = false;
      entry.everPlaced = true;
      leave(entry.job);
      const book = books[job.lane];
      settleMean(book, now);
      book.running++;
    },
    returned: (job, weight) => {
      const entry = entries.get(job.id);
      if (entry === undefined || entry.waiting) return;
      entry.waiting = true;
      books[job.lane].running--;
      wait(entry.job, weight);
    },
    settled: (job, now) => {
      const entry = entries.get(job.id);
      if (entry === undefined) return;
      entries.delete(job.id);
      if (entry.waiting) {
        leave(entry.job);
        return;
      }
      settleMean(books[job.lane], now);
      books[job.lane].running--;
    },
    has: (id) => entries.has(id),
    snapshot: (service, now) => {
      const all = Object.values(books);
      return {
        service,
        waitingJobs: all.reduce((sum, book) => sum + book.waitingJobs, 0),
        waitingWork: all.reduce((sum, book) => sum + book.waitingWork, 0),
        runningJobs: all.reduce((sum, book) => sum + book.running, 0),
        arriving: arrived.rate(now, { span: MINUTE }),
        arrivedBefore: arrived.rate(now, { span: MINUTE, ago: MINUTE }),
        draining: drained.rate(now, { span: MINUTE }),
      };
    },
  };
}

function emptyBook(): LaneBook {
  return {
    waitingJobs: 0,
    waitingWork: 0,
    byAccount: new Map(),
    activeWeight: 0,
    running: 0,
    meanRunning: 0,
    meanAt: 0,
    meanWeight: 0,
    arrived: createRateMeter(),
    firstTokens: createQuantileSketch(HALF_LIFE),
  };
}

/**
 * Places to keep free of scripts, over all entry instances: the lookups that run on the average, and three
 * times the root of it, which independent arrivals exceed in one moment of a thousand.
 */
export function reserveFor(
  book: LaneBook,
  { now, instances }: { now: number; instances: number },
): number {
  settleMean(book, now);
  const mean = book.meanRunning * instances;
  return mean < LEAST_MEAN ? 0 : Math.ceil(mean + 3 * Math.sqrt(mean));
}

/** Brings the mean of what ran at once up to now. */
function settleMean(book: LaneBook, now: number): void {
  const passed = Math.max(0, now - book.meanAt) / 1_000;
  const kept = 2 ** ((-passed * 1_000) / MEAN_HALF_LIFE);
  const before = book.meanWeight * kept;
  const weight = before + passed;
  if (weight > 0) book.meanRunning = (book.meanRunning * before + book.running * passed) / weight;
  book.meanWeight = Math.min(weight, LONGEST_MEAN);
  book.meanAt = Math.max(now, book.meanAt);
}
