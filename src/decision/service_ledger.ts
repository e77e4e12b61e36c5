/**
 * The books of one service at this instance: what was admitted, waits, runs and was done.
 *
 * @module
 */
import type { Job, Lane } from "./job.ts";
import { createQuantileSketch } from "./quantile.ts";
import type { QuantileSketch } from "./quantile.ts";
import { createRateMeter } from "./rate_meter.ts";
import type { RateMeter } from "./rate_meter.ts";
import type { ServiceSnapshot } from "./scheduler.ts";

/** What waits of one account, with the weight that it was counted with. */
interface AccountWaiting {
  jobs: number;
  work: number;
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
  /** The most that ran at once lately. */
  peak: number;
  peakAt: number;
  readonly arrived: RateMeter;
  /** Milliseconds from dispatch to first token. */
  readonly firstTokens: QuantileSketch;
}

/** What was done with one admitted job so far. */
interface JobEntry {
  readonly job: Job;
  readonly admittedAt: number;
  readonly predictedWait: number;
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
  correction(): number;
  offered(arrival: { lane: Lane }, work: number, now: number): void;
  admitted(job: Job, details: { now: number; predictedWait: number; weight: number }): void;
  /** The job goes to a worker. */
  placed(job: Job, now: number): void;
  /** The job's last run ended before the job did: it waits again. */
  returned(job: Job, weight: number): void;
  settled(job: Job): void;
  has(id: string): boolean;
  snapshot(service: string, now: number): ServiceSnapshot;
}

const HALF_LIFE = 200;
const PERCENT = 100;
const ENOUGH_WAITS = 10;
/** Shorter waits are a matter of single turns, not of the speed that a correction is about. */
const LEAST_PREDICTION = 50;
/** The target is for 95 in 100 as well. */
const PERCENTILE = 0.95;
/** Beyond these the cause is another than a wrong speed, and a correction would overshoot. */
const LEAST_CORRECTION = 0.5;
const GREATEST_CORRECTION = 3;
const MINUTE = 60_000;
/** A peak of lookups is expected again for this long: callers at a desk come in rounds of about a minute. */
const PEAK_HALF_LIFE = 60_000;

/** Opens the books of a service. */
export function createServiceLedger(lanes: readonly Lane[]): ServiceLedger {
  const books = Object.fromEntries(lanes.map((lane) => [lane, emptyBook()])) as Record<
    Lane,
    LaneBook
  >;
  const entries = new Map<string, JobEntry>();
  const drained = createRateMeter();
  const arrived = createRateMeter();
  const waits = createQuantileSketch(HALF_LIFE);
  let promisedUntil = 0;

  const wait = (job: Job, weight: number): void => {
    const book = books[job.lane];
    const own = book.byAccount.get(job.account) ?? { jobs: 0, work: 0, weight };
    if (own.jobs === 0) book.activeWeight += weight;
    own.jobs++;
    own.work += job.estimate.work;
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
    book.waitingJobs--;
    book.waitingWork = book.waitingJobs === 0 ? 0 : book.waitingWork - job.estimate.work;
    if (own.jobs > 0) return;
    book.byAccount.delete(job.account);
    book.activeWeight = book.byAccount.size === 0 ? 0 : book.activeWeight - own.weight;
  };
  const compare = (entry: JobEntry, now: number): void => {
    if (entry.predictedWait < LEAST_PREDICTION) return;
    waits.add((PERCENT * (now - entry.admittedAt)) / entry.predictedWait);
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
    correction: () => {
      if (waits.count < ENOUGH_WAITS) return 1;
      const ratio = (waits.quantile(PERCENTILE) ?? PERCENT) / PERCENT;
      return Math.min(GREATEST_CORRECTION, Math.max(LEAST_CORRECTION, ratio));
    },
    offered: ({ lane }, work, now) => {
      books[lane].arrived.add(work, now);
      arrived.add(work, now);
    },
    admitted: (job, { now, predictedWait, weight }) => {
      const entry = { job, admittedAt: now, predictedWait, waiting: true, everPlaced: false };
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
      book.running++;
      raisePeak(book, now);
    },
    returned: (job, weight) => {
      const entry = entries.get(job.id);
      if (entry === undefined || entry.waiting) return;
      entry.waiting = true;
      books[job.lane].running--;
      wait(entry.job, weight);
    },
    settled: (job) => {
      const entry = entries.get(job.id);
      if (entry === undefined) return;
      entries.delete(job.id);
      if (entry.waiting) leave(entry.job);
      else books[job.lane].running--;
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
    peak: 0,
    peakAt: 0,
    arrived: createRateMeter(),
    firstTokens: createQuantileSketch(HALF_LIFE),
  };
}

/** The most jobs of the lane that ran at once lately. */
export function recentPeak(book: LaneBook, now: number): number {
  return Math.max(book.running, book.peak * 2 ** (-(now - book.peakAt) / PEAK_HALF_LIFE));
}

function raisePeak(book: LaneBook, now: number): void {
  book.peak = recentPeak(book, now);
  book.peakAt = now;
}
