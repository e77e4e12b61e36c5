/**
 * Selects the workers that are compared for a request when many instances share the same load data.
 *
 * Load: hundreds of entry instances that each start a few requests per second. Their load data is a
 * few tenths of a second old and the same everywhere. Each instance would pick the worker that was
 * least loaded at that time, and no instance receives the combined load before the next digest.
 * Symptom: workers that reject requests as full next to idle ones, and a busiest worker that
 * changes every few hundred milliseconds.
 *
 * Mechanism: each request compares only a few randomly drawn workers. The more runs start at a
 * worker between two digests, the fewer workers are drawn. With two candidates the load stays even
 * however old the data is; where few runs start unseen, all workers are compared. With hundreds of
 * workers, checking a few also costs a fraction of checking all.
 *
 * The home workers of the request's prompt are always compared as well, since only requests that
 * share the prompt go there.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";
import { findHomes } from "./worker_ranking.ts";
import type { PromptHomes, PromptPart } from "./worker_ranking.ts";

/** Minimum number of workers drawn: the better of two is far better than one at random. */
const MIN_SAMPLE_SIZE = 2;
/** Number of workers drawn when one run per worker starts unseen. */
const SAMPLE_SIZE_AT_ONE_UNSEEN = 3;

/** The candidate workers for one request. */
export interface CandidateWorkers<W> {
  readonly workers: readonly W[];
  /** Workers that probably cache the shared parts of the prompt, selected from all workers. */
  readonly homes: PromptHomes<W>;
}

/**
 * Draws the candidate workers for a request.
 *
 * @param workers All workers that may serve the request.
 * @param options `unseen` is the number of runs that other instances start at each worker before
 * this instance receives the next digest; `parts` are the parts of the request's prompt.
 * @returns A random sample of `workers` and the prompt's home workers, or all workers if there are
 * no more than that.
 */
export function sampleWorkers<W extends { readonly hash: number }>(
  workers: readonly W[],
  options: { unseen: number; parts: readonly PromptPart[]; random: Random },
): CandidateWorkers<W> {
  const { unseen, parts, random } = options;
  const homes = findHomes(workers, parts);
  const sampleSize = Math.max(
    MIN_SAMPLE_SIZE,
    Math.ceil(SAMPLE_SIZE_AT_ONE_UNSEEN / Math.max(unseen, Number.EPSILON)),
  );
  if (sampleSize + homes.size >= workers.length) return { workers, homes };
  const selected = new Set(homes.keys());
  for (let count = 0; count < sampleSize; count++) {
    const worker = workers[Math.floor(random.next() * workers.length)];
    if (worker !== undefined) selected.add(worker);
  }
  return { workers: [...selected], homes };
}
