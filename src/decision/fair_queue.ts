/**
 * Orders waiting work by fair shares of tokens over accounts, with separate lanes for lookups and
 * scripts.
 *
 * Load: one account sends a thousand scripts at once while another sends ten, and short lookups
 * arrive among them. In one queue in order of arrival the ten wait for the thousand, and a lookup
 * of 20 tokens waits for scripts of 2,000 ahead of it. Symptom: an account's time to first token
 * depends on the load of other accounts.
 *
 * Order: start-time fair queueing at two levels. Between the lanes, and then between the accounts
 * of a lane, the one with the least started work for its weight goes first. Within an account the
 * job with the earliest latest start goes first, so that a caller who waits for a first token goes
 * before work that has hours. Work is counted in tokens, not in requests, so that splitting work
 * into small requests or merging it into long ones gains nothing. The excess of an account's
 * answers over their estimates is charged to the account later, so understating gains nothing
 * either. No account starves: its tag only grows by its own work, and a deadline only comes nearer.
 *
 * Lookups have four times the weight of scripts. The weight matters only if lookups exceed their
 * share: while they need less than four fifths of the tokens, they don't wait for waiting scripts.
 * Scripts keep at least one token in five under any load of lookups, so a night's scripts finish by
 * the morning even if lookups run all night.
 *
 * Cost: each operation takes O(log n) of the waiting jobs and accounts. Removal by id only marks
 * the item; it leaves its heap when it reaches the top.
 *
 * @module
 */
import type { QueueAddOptions } from "p-queue";
import { createHeap } from "./heap.ts";
import type { Heap } from "./heap.ts";
import { Lane } from "./job.ts";
import type { Job } from "./job.ts";

/** Callbacks of a fair queue. */
export interface FairQueueOptions {
  /** Returns the account's weight in the service relative to the other accounts; more than 0. */
  readonly weightOf: (account: string) => number;
  /** Returns whether a job of the lane may start now; otherwise the lane is skipped. */
  readonly canStart?: (lane: Lane) => boolean;
  /**
   * Returns the tokens by which the account's ended work exceeded its estimates since the last
   * call.
   */
  readonly takeExcessWork?: (account: string) => number;
}

/** Options of a queued element; p-queue passes the options of `add` on. */
export interface FairQueueEntry extends QueueAddOptions {
  /** The job; an element without a job is the system's own and goes first. */
  readonly job?: Job;
}

/** A queue in fair order that satisfies p-queue's `queueClass`. */
export interface FairQueue<Element> {
  /** Number of elements that may start now; p-queue dequeues whenever it is above 0. */
  readonly size: number;
  /** Number of all elements, including those of lanes that may not start now. */
  readonly waiting: number;
  /** Adds an element. */
  enqueue(run: Element, options?: Partial<FairQueueEntry>): void;
  /** Removes and returns the next element; undefined if none may start now. */
  dequeue(): Element | undefined;
  /** Returns all waiting elements; the options are ignored. */
  filter(options: Readonly<Partial<FairQueueEntry>>): Element[];
  /**
   * Does nothing except to check the id; required by p-queue. The order depends on the fair shares
   * only.
   */
  setPriority(id: string, priority: number): void;
  /** Removes an element; an unknown one changes nothing. */
  remove(idOrRun: string | Element): void;
}

/** The element type of p-queue. */
export type FairQueueTask = () => Promise<unknown>;

/** The weights of the lanes; lookups get up to four fifths of the tokens. */
const LANE_WEIGHT: Readonly<Record<Lane, number>> = { [Lane.Lookup]: 4, [Lane.Script]: 1 };

interface QueuedItem<Element> {
  readonly run: Element;
  readonly id: string | undefined;
  readonly job: Job | undefined;
  readonly sequence: number;
  isRemoved: boolean;
}

/**
 * One account's waiting jobs in one lane. `startTag` is the virtual time at which its next job
 * starts.
 */
interface AccountQueue<Element> {
  readonly account: string;
  readonly jobs: Heap<QueuedItem<Element>>;
  startTag: number;
  /** Jobs that wait and are not marked as removed. */
  waitingCount: number;
  /** Whether the account is in the lane's heap of accounts. */
  isQueued: boolean;
}

interface LaneQueue<Element> {
  readonly lane: Lane;
  readonly accounts: Map<string, AccountQueue<Element>>;
  readonly accountHeap: Heap<AccountQueue<Element>>;
  /** The start tag of the account served last. */
  virtualTime: number;
  /** The lane's own start tag among the lanes. */
  startTag: number;
  waitingCount: number;
}

/**
 * Creates the queue class of one service's p-queue. The replay uses an instance of it directly.
 *
 * @example
 * ```ts
 * const queueClass = createFairQueueClass(scheduler.queueOptions("entry-model"));
 * const concurrency = scheduler.capacity("entry-model", now);
 * const queue = new PQueue<FairQueue<FairQueueTask>, FairQueueEntry>({ queueClass, concurrency });
 * await queue.add(run, { id: job.id, job });
 * ```
 */
export function createFairQueueClass<Element = FairQueueTask>(
  options: FairQueueOptions,
): new () => FairQueue<Element> {
  return class extends LaneFairQueue<Element> {
    constructor() {
      super(options);
    }
  };
}

class LaneFairQueue<Element> implements FairQueue<Element> {
  readonly #options: FairQueueOptions;
  readonly #lanes: readonly LaneQueue<Element>[] = [Lane.Lookup, Lane.Script].map(
    emptyLaneQueue<Element>,
  );
  readonly #system: QueuedItem<Element>[] = [];
  readonly #byId = new Map<string, QueuedItem<Element>>();
  /** The start tag of the lane served last. */
  #virtualTime = 0;
  #sequence = 0;

  constructor(options: FairQueueOptions) {
    this.#options = options;
  }

  get size(): number {
    const startable = this.#lanes.filter((lane) => this.#isStartable(lane));
    return startable.reduce((sum, lane) => sum + lane.waitingCount, this.#system.length);
  }

  get waiting(): number {
    return this.#lanes.reduce((sum, lane) => sum + lane.waitingCount, this.#system.length);
  }

  enqueue(run: Element, options: Partial<FairQueueEntry> = {}): void {
    const { id, job } = options;
    const item = { run, id, job, sequence: this.#sequence++, isRemoved: false };
    if (id !== undefined) this.#byId.set(id, item);
    if (job === undefined) this.#system.push(item);
    else this.#enqueueJob(item, job);
  }

  dequeue(): Element | undefined {
    const systemItem = this.#system.shift();
    const next = systemItem ?? this.#dequeueJob();
    if (next?.id !== undefined) this.#byId.delete(next.id);
    return next?.run;
  }

  filter(): Element[] {
    const jobs = this.#allJobs().filter(({ isRemoved }) => !isRemoved);
    return [...this.#system, ...jobs].map(({ run }) => run);
  }

  setPriority(id: string): void {
    if (!this.#byId.has(id)) throw new ReferenceError(`No waiting job has the id "${id}".`);
  }

  remove(idOrRun: string | Element): void {
    const found = typeof idOrRun === "string" ? this.#byId.get(idOrRun) : this.#find(idOrRun);
    if (found === undefined) return;
    if (found.id !== undefined) this.#byId.delete(found.id);
    if (found.job === undefined) this.#system.splice(this.#system.indexOf(found), 1);
    else this.#removeJob(found, found.job);
  }

  #enqueueJob(item: QueuedItem<Element>, job: Job): void {
    const lane = this.#queueOf(job.lane);
    if (lane.waitingCount === 0) lane.startTag = Math.max(lane.startTag, this.#virtualTime);
    const account = accountQueueOf(lane, job.account);
    if (account.waitingCount === 0) account.startTag = Math.max(account.startTag, lane.virtualTime);
    account.jobs.push(item);
    account.waitingCount++;
    lane.waitingCount++;
    pushAccount(lane, account);
  }

  #dequeueJob(): QueuedItem<Element> | undefined {
    const lane = this.#nextLane();
    if (lane === undefined) return undefined;
    const account = popAccount(lane);
    const item = account === undefined ? undefined : popJob(account);
    if (account === undefined || item?.job === undefined) return undefined;
    account.waitingCount--;
    lane.waitingCount--;
    this.#charge(lane, account, item.job);
    if (account.waitingCount > 0) pushAccount(lane, account);
    return item;
  }

  #charge(lane: LaneQueue<Element>, account: AccountQueue<Element>, job: Job): void {
    const excess = this.#options.takeExcessWork?.(account.account) ?? 0;
    lane.virtualTime = Math.max(lane.virtualTime, account.startTag);
    // A credit for estimates that were too high never moves the tag before the present; otherwise
    // an idle account could save credit and block all others when it returns.
    const charged = (job.estimate.work + excess) / this.#options.weightOf(account.account);
    account.startTag = Math.max(lane.virtualTime, account.startTag + charged);
    const start = Math.max(lane.startTag, this.#virtualTime);
    this.#virtualTime = start;
    lane.startTag = start + job.estimate.work / LANE_WEIGHT[lane.lane];
  }

  #nextLane(): LaneQueue<Element> | undefined {
    const startable = this.#lanes.filter(
      (lane) => lane.waitingCount > 0 && this.#isStartable(lane),
    );
    const [lookups, scripts] = startable;
    if (lookups === undefined || scripts === undefined) return lookups;
    // A lane that couldn't start for a while has an old tag; it gets no credit for that time.
    const start = (lane: LaneQueue<Element>): number => Math.max(lane.startTag, this.#virtualTime);
    return start(scripts) < start(lookups) ? scripts : lookups;
  }

  #isStartable(lane: LaneQueue<Element>): boolean {
    return lane.waitingCount > 0 && (this.#options.canStart?.(lane.lane) ?? true);
  }

  #queueOf(lane: Lane): LaneQueue<Element> {
    const found = this.#lanes.find((queue) => queue.lane === lane);
    if (found === undefined) throw new Error(`The lane "${lane}" does not exist.`);
    return found;
  }

  #removeJob(item: QueuedItem<Element>, job: Job): void {
    const lane = this.#queueOf(job.lane);
    item.isRemoved = true;
    lane.waitingCount--;
    accountQueueOf(lane, job.account).waitingCount--;
  }

  #allJobs(): QueuedItem<Element>[] {
    const accounts = this.#lanes.flatMap((lane) => [...lane.accounts.values()]);
    return accounts.flatMap((account) => [...account.jobs.values()]);
  }

  #find(run: Element): QueuedItem<Element> | undefined {
    const all = [...this.#system, ...this.#allJobs()];
    return all.find((item) => !item.isRemoved && item.run === run);
  }
}

function emptyLaneQueue<Element>(lane: Lane): LaneQueue<Element> {
  const accountHeap = createHeap<AccountQueue<Element>>((a, b) => a.startTag < b.startTag);
  return { lane, accounts: new Map(), accountHeap, virtualTime: 0, startTag: 0, waitingCount: 0 };
}

function accountQueueOf<Element>(lane: LaneQueue<Element>, account: string): AccountQueue<Element> {
  const known = lane.accounts.get(account);
  if (known !== undefined) return known;
  const jobs = createHeap<QueuedItem<Element>>(isEarlier);
  const created = { account, jobs, startTag: lane.virtualTime, waitingCount: 0, isQueued: false };
  lane.accounts.set(account, created);
  return created;
}

function isEarlier(a: QueuedItem<unknown>, b: QueuedItem<unknown>): boolean {
  const difference = latestStart(a) - latestStart(b);
  return difference === 0 ? a.sequence < b.sequence : difference < 0;
}

function latestStart({ job }: QueuedItem<unknown>): number {
  return job?.estimate.startBy ?? job?.deadlineAt ?? 0;
}

function pushAccount<Element>(lane: LaneQueue<Element>, account: AccountQueue<Element>): void {
  if (account.isQueued) return;
  account.isQueued = true;
  lane.accountHeap.push(account);
}

function popAccount<Element>(lane: LaneQueue<Element>): AccountQueue<Element> | undefined {
  for (
    let account = lane.accountHeap.pop();
    account !== undefined;
    account = lane.accountHeap.pop()
  ) {
    account.isQueued = false;
    if (account.waitingCount > 0) return account;
  }
  return undefined;
}

function popJob<Element>(account: AccountQueue<Element>): QueuedItem<Element> | undefined {
  let item = account.jobs.pop();
  while (item?.isRemoved === true) item = account.jobs.pop();
  return item;
}
