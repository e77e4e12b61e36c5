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
  readonly mayStart?: (lane: Lane) => boolean;
  /** Tokens by which the account's ended work came out above its estimates since the last call. */
  readonly takeDebt?: (account: string) => number;
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

interface Waiting<Element> {
  readonly run: Element;
  readonly id: string | undefined;
  readonly job: Job | undefined;
  readonly sequence: number;
  removed: boolean;
}

/** One account's waiting jobs in one lane. `tag` is the virtual time at which its next job starts. */
interface AccountLine<Element> {
  readonly account: string;
  readonly jobs: Heap<Waiting<Element>>;
  tag: number;
  /** Jobs that wait and are not marked as removed. */
  live: number;
  /** In the lane's heap of accounts. */
  queued: boolean;
}

interface LaneLine<Element> {
  readonly lane: Lane;
  readonly accounts: Map<string, AccountLine<Element>>;
  readonly order: Heap<AccountLine<Element>>;
  /** The tag of the account served last. */
  virtual: number;
  /** The lane's own tag, between the lanes. */
  tag: number;
  live: number;
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
  return class extends FairLines<Element> {
    constructor() {
      super(options);
    }
  };
}

class FairLines<Element> implements FairQueue<Element> {
  readonly #options: FairQueueOptions;
  readonly #lanes: readonly LaneLine<Element>[] = [Lane.Lookup, Lane.Script].map(
    emptyLane<Element>,
  );
  readonly #system: Waiting<Element>[] = [];
  readonly #byId = new Map<string, Waiting<Element>>();
  /** The tag of the lane served last. */
  #virtual = 0;
  #sequence = 0;

  constructor(options: FairQueueOptions) {
    this.#options = options;
  }

  get size(): number {
    const startable = this.#lanes.filter((line) => this.#isStartable(line));
    return startable.reduce((sum, line) => sum + line.live, this.#system.length);
  }

  get waiting(): number {
    return this.#lanes.reduce((sum, line) => sum + line.live, this.#system.length);
  }

  enqueue(run: Element, options: Partial<FairQueueEntry> = {}): void {
    const { id, job } = options;
    const waiting = { run, id, job, sequence: this.#sequence++, removed: false };
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
    const jobs = this.#allJobs().filter(({ removed }) => !removed);
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

  #enqueueJob(waiting: Waiting<Element>, job: Job): void {
    const line = this.#lineOf(job.lane);
    if (line.live === 0) line.tag = Math.max(line.tag, this.#virtual);
    const account = accountLine(line, job.account);
    if (account.live === 0) account.tag = Math.max(account.tag, line.virtual);
    account.jobs.push(waiting);
    account.live++;
    line.live++;
    queueAccount(line, account);
  }

  #dequeueJob(): Waiting<Element> | undefined {
    const line = this.#nextLane();
    if (line === undefined) return undefined;
    const account = nextAccount(line);
    const waiting = account === undefined ? undefined : nextJob(account);
    if (account === undefined || waiting?.job === undefined) return undefined;
    account.live--;
    line.live--;
    this.#charge(line, account, waiting.job);
    if (account.live > 0) queueAccount(line, account);
    return waiting;
  }

  #charge(line: LaneLine<Element>, account: AccountLine<Element>, job: Job): void {
    const debt = this.#options.takeDebt?.(account.account) ?? 0;
    line.virtual = Math.max(line.virtual, account.tag);
    // A credit for estimates that came out too high never reaches back before the present: saved up, it
    // would let an idle account hold all others up when it returns.
    const charged = (job.estimate.work + debt) / this.#options.weightOf(account.account);
    account.tag = Math.max(line.virtual, account.tag + charged);
    const start = Math.max(line.tag, this.#virtual);
    this.#virtual = start;
    line.tag = start + job.estimate.work / LANE_WEIGHT[line.lane];
  }

  #nextLane(): LaneLine<Element> | undefined {
    const startable = this.#lanes.filter((line) => line.live > 0 && this.#isStartable(line));
    const [lookups, scripts] = startable;
    if (lookups === undefined || scripts === undefined) return lookups;
    // A lane that couldn't start for a while has an old tag: it doesn't get the time back.
    const start = (line: LaneLine<Element>): number => Math.max(line.tag, this.#virtual);
    return start(scripts) < start(lookups) ? scripts : lookups;
  }

  #isStartable(line: LaneLine<Element>): boolean {
    return line.live > 0 && (this.#options.mayStart?.(line.lane) ?? true);
  }

  #lineOf(lane: Lane): LaneLine<Element> {
    const found = this.#lanes.find((line) => line.lane === lane);
    if (found === undefined) throw new Error(`No lane is called "${lane}".`);
    return found;
  }

  #removeJob(waiting: Waiting<Element>, job: Job): void {
    const line = this.#lineOf(job.lane);
    waiting.removed = true;
    line.live--;
    accountLine(line, job.account).live--;
  }

  #allJobs(): Waiting<Element>[] {
    const accounts = this.#lanes.flatMap((line) => [...line.accounts.values()]);
    return accounts.flatMap((account) => [...account.jobs.values()]);
  }

  #find(run: Element): Waiting<Element> | undefined {
    const all = [...this.#system, ...this.#allJobs()];
    return all.find((waiting) => !waiting.removed && waiting.run === run);
  }
}

function emptyLane<Element>(lane: Lane): LaneLine<Element> {
  const order = createHeap<AccountLine<Element>>((a, b) => a.tag < b.tag);
  return { lane, accounts: new Map(), order, virtual: 0, tag: 0, live: 0 };
}

function accountLine<Element>(line: LaneLine<Element>, account: string): AccountLine<Element> {
  const known = line.accounts.get(account);
  if (known !== undefined) return known;
  const jobs = createHeap<Waiting<Element>>(isEarlier);
  const created = { account, jobs, tag: line.virtual, live: 0, queued: false };
  line.accounts.set(account, created);
  return created;
}

function isEarlier(a: Waiting<unknown>, b: Waiting<unknown>): boolean {
  const difference = startOf(a) - startOf(b);
  return difference === 0 ? a.sequence < b.sequence : difference < 0;
}

function startOf({ job }: Waiting<unknown>): number {
  return job?.estimate.startBy ?? job?.deadlineAt ?? 0;
}

function queueAccount<Element>(line: LaneLine<Element>, account: AccountLine<Element>): void {
  if (account.queued) return;
  account.queued = true;
  line.order.push(account);
}

function nextAccount<Element>(line: LaneLine<Element>): AccountLine<Element> | undefined {
  for (let account = line.order.pop(); account !== undefined; account = line.order.pop()) {
    account.queued = false;
    if (account.live > 0) return account;
  }
  return undefined;
}

function nextJob<Element>(account: AccountLine<Element>): Waiting<Element> | undefined {
  let waiting = account.jobs.pop();
  while (waiting?.removed === true) waiting = account.jobs.pop();
  return waiting;
}
