/**
 * Which workers a request is compared on where many instances choose by the same news.
 *
 * Load that it answers: hundreds of entry instances that each begin a few requests a second. What they go by is some
 * tenths of a second old, and they all have the same: each would take the worker that was the least loaded then, and
 * what they send there together is known to none of them before the next news. One would notice workers that reject
 * requests as full beside others that idle, and a busiest worker that changes every few hundred milliseconds.
 *
 * So each request compares only a few workers drawn at random, the fewer the more begins at a worker between two news:
 * with two the load stays even however old the news are, and where little begins unseen all are compared. Before
 * hundreds of workers, looking at a few also costs a request a fraction of looking at all.
 *
 * The homes of the request's prompt are compared as well, since only the requests that share it go there.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";
import { homesOf } from "./worker_ranking.ts";
import type { PromptHomes, PromptPart } from "./worker_ranking.ts";

/** Drawn at least: the better of two is far better than one at random. */
const LEAST_DRAWN = 2;
/** Workers drawn where one run begins unseen at each. */
const DRAWN_AT_ONE = 3;

/** What a request is compared on. */
export interface Compared<W> {
  readonly workers: readonly W[];
  /** Where the shared parts of its prompt are kept, among all workers. */
  readonly homes: PromptHomes<W>;
}

/**
 * Draws the workers that a request is compared on.
 *
 * @param workers All that may take it.
 * @param options `unseen` is how many runs the others begin at a worker before this instance hears of them.
 */
export function comparedWorkers<W extends { readonly hash: number }>(
  workers: readonly W[],
  options: { unseen: number; parts: readonly PromptPart[]; random: Random },
): Compared<W> {
  const { unseen, parts, random } = options;
  const homes = homesOf(workers, parts);
  const drawn = Math.max(LEAST_DRAWN, Math.ceil(DRAWN_AT_ONE / Math.max(unseen, Number.EPSILON)));
  if (drawn + homes.size >= workers.length) return { workers, homes };
  const found = new Set(homes.keys());
  for (let count = 0; count < drawn; count++) {
    const worker = workers[Math.floor(random.next() * workers.length)];
    if (worker !== undefined) found.add(worker);
  }
  return { workers: [...found], homes };
}
