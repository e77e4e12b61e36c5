/**
 * The order of waiting work: fair shares of tokens over accounts, lookups and scripts apart.
 *
 * Load that it answers: one account sends a thousand scripts at once while another sends ten, and short
 * lookups arrive among them. In one line in order of arrival the ten wait for the thousand, and a lookup of
 * 20 tokens waits for scripts of 2,000 ahead of it. One would notice it as a time to first token that
 * follows somebody else's load: desks that wait whenever the night's scripts are sent.
 *
 * Order: start-time fair queueing twice over. Between the lanes, then between the accounts of a lane, the
 * one with the least work started for its weight goes first; inside an account the one that must start first
 * to be in time, so that a caller who waits for a first token goes before work that has until the morning.
 * Work is counted in tokens, not requests, so that splitting work in small requests or hiding it in long
 * ones gains nothing. What an account's answers came to above their estimates is added to its account
 * later, so neither does understating. Nothing starves: an account's tag only grows by its own work, and a
 * deadline only comes nearer.
 *
 * Lookups have four times the scripts' weight. They need it only while they are above their share: a tent
 * that asks for less than four fifths of the tokens never waits for a script that waits, and scripts keep at
 * least one token in five under any load of lookups, which is what finishes a night's scripts by morning
 * when lookups run all night.
 *
 * Each operation costs O(log n) of the jobs and accounts that wait. Taking an element out by id marks it
 * only; it leaves its heap when its turn comes.
 *
 * @module
 */
import type { QueueAddOptions } from "p-queue";
import { createHeap } from "./heap.ts";
import type { Heap } from "./heap.ts";
import { Lane } from "./job.ts";
import type { Job } from "./job.ts";

/** What the fair queue asks of whoever owns it. */
export interface FairQueueOptions {
  /** The account's part of the service against the other accounts' weights; more than 0. */
  readonly weightOf: (account: string) => number;
  /** Whether a job of the lane may start now; a lane that may not is passed over. */
  readonly canStart?: (lane: Lane) => boolean;
  /** Tokens by which the account's ended work came out above its estimates since the last call. */
  readonly takeExcessWork?: (account: string) => number;
}

/** What is given with an element: p-queue passes the options of `add` on. */
export interface FairQueueEntry extends QueueAddOptions {
  /** Without a job the element goes first: it is the system's own. */
  readonly job?: Job;
}

/** A waiting line in fair order, in the shape that p-queue asks of its `queueClass`. */
export interface FairQueue<Element> {
  /** Elements that may start now: p-queue takes one out whenever this is above 0. */
  readonly size: number;
  /** All elements, those of lanes that may not start now as well. */
  readonly waiting: number;
  enqueue(run: Element, options?: Partial<FairQueueEntry>): void;
  /** The element that goes next, taken out; undefined where none may start now. */
  dequeue(): Element | undefined;
  filter(options: Readonly<Partial<FairQueueEntry>>): Element[];
  /** Kept for p-queue's sake: the order is the fair share's alone. */
  setPriority(id: string, priority: number): void;
  remove(idOrRun: string | Element): void;
}

/** What p-queue keeps in its queue. */
export type FairRun = () => Promise<unknown>;

const LANE_WEIGHT: Readonly<Record<Lane, number>> = { [Lane.Lookup]: 4, [Lane.Script]: 1 };

interface QueuedItem<Element> {
  readonly run: Element;
  readonly id: string | undefined;
  readonly job: Job | undefined;
  readonly sequence: number;
  isRemoved: boolean;
}

/** One account's waiting jobs in one lane. `tag` is the virtual time at which its next job starts. */
interface AccountQueue<Element> {
  readonly account: string;
  readonly jobs: Heap<QueuedItem<Element>>;
  startTag: number;
  /** Jobs that wait and are not marked as removed. */
  waitingCount: number;
  /** In the lane's heap of accounts. */
  isQueued: boolean;
}

interface LaneQueue<Element> {
  readonly lane: Lane;
  readonly accounts: Map<string, AccountQueue<Element>>;
  readonly accountHeap: Heap<AccountQueue<Element>>;
  /** The tag of the account served last. */
  virtualTime: number;
  /** The lane's own tag, between the lanes. */
  startTag: number;
  waitingCount: number;
}

/**
 * Makes the queue class of one service's p-queue. The replay uses an instance of it directly.
 *
 * @example
 * ```ts
 * const queueClass = createFairQueueClass(scheduler.queueOptions("entry-model"));
 * const concurrency = scheduler.capacity("entry-model", now);
 * const queue = new PQueue<FairQueue<FairRun>, FairQueueEntry>({ queueClass, concurrency });
 * await queue.add(run, { id: job.id, job });
 * ```
 */
export function createFairQueueClass<Element = FairRun>(
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
  /** The tag of the lane served last. */
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
    const waiting = { run, id, job, sequence: this.#sequence++, isRemoved: false };
    if (id !== undefined) this.#byId.set(id, waiting);
    if (job === undefined) this.#system.push(waiting);
    else this.#enqueueJob(waiting, job);
  }

  dequeue(): Element | undefined {
    const own = this.#system.shift();
    const next = own ?? this.#dequeueJob();
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

  #enqueueJob(waiting: QueuedItem<Element>, job: Job): void {
    const lane = this.#queueOf(job.lane);
    if (lane.waitingCount === 0) lane.startTag = Math.max(lane.startTag, this.#virtualTime);
    const account = accountQueueOf(lane, job.account);
    if (account.waitingCount === 0) account.startTag = Math.max(account.startTag, lane.virtualTime);
    account.jobs.push(waiting);
    account.waitingCount++;
    lane.waitingCount++;
    pushAccount(lane, account);
  }

  #dequeueJob(): QueuedItem<Element> | undefined {
    const lane = this.#nextLane();
    if (lane === undefined) return undefined;
    const account = popAccount(lane);
    const waiting = account === undefined ? undefined : popJob(account);
    if (account === undefined || waiting?.job === undefined) return undefined;
    account.waitingCount--;
    lane.waitingCount--;
    this.#charge(lane, account, waiting.job);
    if (account.waitingCount > 0) pushAccount(lane, account);
    return waiting;
  }

  #charge(lane: LaneQueue<Element>, account: AccountQueue<Element>, job: Job): void {
    const excess = this.#options.takeExcessWork?.(account.account) ?? 0;
    lane.virtualTime = Math.max(lane.virtualTime, account.startTag);
    // A credit for estimates that came out too high never reaches back before the present: saved up, it
    // would let an idle account hold all others up when it returns.
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
    // A lane that couldn't start for a while has an old tag: it doesn't get the time back.
    const start = (lane: LaneQueue<Element>): number => Math.max(lane.startTag, this.#virtualTime);
    return start(scripts) < start(lookups) ? scripts : lookups;
  }

  #isStartable(lane: LaneQueue<Element>): boolean {
    return lane.waitingCount > 0 && (this.#options.canStart?.(lane.lane) ?? true);
  }

  #queueOf(lane: Lane): LaneQueue<Element> {
    const found = this.#lanes.find((queue) => queue.lane === lane);
    if (found === undefined) throw new Error(`No lane is called "${lane}".`);
    return found;
  }

  #removeJob(waiting: QueuedItem<Element>, job: Job): void {
    const lane = this.#queueOf(job.lane);
    waiting.isRemoved = true;
    lane.waitingCount--;
    accountQueueOf(lane, job.account).waitingCount--;
  }

  #allJobs(): QueuedItem<Element>[] {
    const accounts = this.#lanes.flatMap((lane) => [...lane.accounts.values()]);
    return accounts.flatMap((account) => [...account.jobs.values()]);
  }

  #find(run: Element): QueuedItem<Element> | undefined {
    const all = [...this.#system, ...this.#allJobs()];
    return all.find((waiting) => !waiting.isRemoved && waiting.run === run);
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
  let waiting = account.jobs.pop();
  while (waiting?.isRemoved === true) waiting = account.jobs.pop();
  return waiting;
}
