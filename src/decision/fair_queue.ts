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
export interface FairQueueEntry {
  /** Without a job the element goes first: it is the system's own. */
  readonly job?: Job;
  readonly id?: string;
  readonly priority?: number;
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
  setPriority(id: string, priority: number): void;
  remove(idOrRun: string | Element): void;
}

/**
 * Makes the queue class of one service's p-queue. The replay uses an instance of it directly.
 *
 * @example
 * ```ts
 * const queueClass = createFairQueueClass(scheduler.queueOptions("entry-model"));
 * const queue = new PQueue({ queueClass, concurrency: scheduler.capacity("entry-model", now) });
 * await queue.add(run, { id: job.id, job });
 * ```
 */
export function createFairQueueClass(options: FairQueueOptions): new () => FairQueue<FairRun> {
  return class {
    readonly #waiting: { readonly run: FairRun; readonly id: string | undefined }[] = [];

    get size(): number {
      return this.#startable() ? this.#waiting.length : 0;
    }

    get waiting(): number {
      return this.#waiting.length;
    }

    #startable(): boolean {
      return options.mayStart?.(Lane.Script) ?? true;
    }

    enqueue(run: FairRun, options: Partial<FairQueueEntry> = {}): void {
      this.#waiting.push({ run, id: options.id });
    }

    dequeue(): FairRun | undefined {
      return this.#waiting.shift()?.run;
    }

    filter(): FairRun[] {
      return this.#waiting.map(({ run }) => run);
    }

    setPriority(): void {
      // The order is the fair share's alone.
    }

    remove(idOrRun: string | FairRun): void {
      const index = this.#waiting.findIndex(({ id, run }) => id === idOrRun || run === idOrRun);
      if (index !== -1) this.#waiting.splice(index, 1);
    }
  };
}

/** What p-queue keeps in its queue. */
export type FairRun = () => Promise<unknown>;
