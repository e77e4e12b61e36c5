/**
 * Which of the ranked workers a request goes to where many instances choose by the same news.
 *
 * Load that it answers: hundreds of entry instances that each begin a few requests a second. What they go by is some
 * tenths of a second old, and they all have the same: each would take the worker that was the least loaded then, and
 * what they send there together is known to none of them before the next news. One would notice workers that reject
 * requests as full beside others that idle, and a busiest worker that changes every few hundred milliseconds.
 *
 * So each request compares only a few workers drawn at random, the fewer the more begins at a worker between two news:
 * with two the load stays even however old the news are, and where little begins unseen all are compared.
 *
 * A worker that has parts of the request's prompt is compared as well, since only the requests that share them go there.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";
import type { RankedWorker, Ranking } from "./worker_ranking.ts";

/** Drawn at least: the better of two is far better than one at random. */
const LEAST_DRAWN = 2;
/** Workers drawn where one run begins unseen at each. */
const DRAWN_AT_ONE = 3;

/**
 * Puts the worker that a request goes to first and leaves the others in their order.
 *
 * @param ranked The cheapest first.
 * @param options `unseen` is how many runs the others begin at a worker before this instance hears of them.
 */
export function spreadChoice<W extends RankedWorker>(
  ranked: readonly Ranking<W>[],
  { unseen, random }: { unseen: number; random: Random },
): readonly Ranking<W>[] {
  const drawn = Math.max(LEAST_DRAWN, Math.ceil(DRAWN_AT_ONE / Math.max(unseen, Number.EPSILON)));
  if (drawn >= ranked.length) return ranked;
  const most = Math.max(...ranked.map(({ reads }) => reads));
  // The order is by cost, so the best of those drawn has the least place.
  let place = ranked.findIndex(({ reads }) => reads < most);
  if (place < 0) place = ranked.length;
  for (let count = 0; count < drawn; count++) {
    place = Math.min(place, Math.floor(random.next() * ranked.length));
  }
  const chosen = ranked[place];
  if (chosen === undefined || place === 0) return ranked;
  return [chosen, ...ranked.slice(0, place), ...ranked.slice(place + 1)];
}
