/**
 * Which models and adapters each worker of a service holds.
 *
 * Load that it answers: many adapters, few of them in demand at any hour, and workers that hold only some.
 * Loading on the first request makes its caller wait for seconds; loading all that changes at once fills
 * the weight store's rate, and every load is late. One would notice first tokens late by a load's time
 * whenever demand moves, and workers that load and drop the same adapter by turns.
 *
 * Each model with demand is held by a part of the workers equal to its part of the work, at least by two
 * (one may be taken any second), those first that hold it already. A model without demand stays where it
 * is as long as its place isn't needed: dropping it gains nothing. A worker changes only if a model is
 * missing, and only as many workers change at once as the weight store feeds in a minute: each plan reads
 * what is loaded now, so the rest follows in the next ones.
 *
 * @module
 */
import { WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";

/** Demand for one model, adapter or version of a service. */
export interface ModelDemand {
  /** `MODEL` or `MODEL+ADAPTER`. */
  readonly model: string;
  /** Tokens of work a second. */
  readonly arriving: number;
  /** Tokens of work that wait. */
  readonly waiting: number;
  /** Bytes to load. */
  readonly weights: number;
}

/** What the decision about loads knows of one service. */
export interface LoadsView {
  readonly now: number;
  readonly workers: readonly Worker[];
  /** What each worker has loaded, by worker id, as last reported or ordered. */
  readonly loaded: ReadonlyMap<string, readonly string[]>;
  readonly demand: readonly ModelDemand[];
  /** How many models, with adapters, fit on one worker. */
  readonly perWorker: number;
  /** Bytes a second of the weight store. */
  readonly weightStoreRate: number;
  /** Loads under way, over all workers. */
  readonly loading: number;
}

/** What a worker is to be, in absolute terms. */
export interface LoadOrder {
  readonly worker: string;
  readonly models: readonly string[];
  readonly role: string;
}

const ROLE = "serve";
const LEAST_HOLDERS = 2;
/** Seconds of the weight store's rate that loads at the same time may take. */
const LOAD_TIME = 60;

/** Plans the loads of a service; the result has an order for each worker that takes work. */
export function planLoads(view: LoadsView): LoadOrder[] {
  const workers = view.workers.filter(({ state }) => state === WorkerState.Live);
  const held = new Map(workers.map(({ id }) => [id, [...(view.loaded.get(id) ?? [])]]));
  const demand = [...view.demand].sort((a, b) => weightOf(b) - weightOf(a));
  const total = demand.reduce((sum, model) => sum + weightOf(model), 0);
  const wanted = new Set(demand.filter((one) => weightOf(one) > 0).map(({ model }) => model));
  let left = LOAD_TIME * view.weightStoreRate - loadingBytes(view);
  for (const model of demand) {
    const holders = holdersWanted(model, { total, workers: workers.length });
    for (const models of candidates(held, model.model, view)) {
      if (countHolders(held, model.model) >= holders || left <= 0) break;
      if (!makeRoom(models, { wanted, perWorker: view.perWorker, held })) continue;
      models.push(model.model);
      left -= model.weights;
    }
  }
  return workers.map(({ id }) => ({ worker: id, models: held.get(id) ?? [], role: ROLE }));
}

function weightOf({ arriving, waiting }: ModelDemand): number {
  return arriving + waiting / LOAD_TIME;
}

function loadingBytes({ loading, demand }: LoadsView): number {
  return loading * Math.max(0, ...demand.map(({ weights }) => weights));
}

function holdersWanted(
  model: ModelDemand,
  { total, workers }: { total: number; workers: number },
): number {
  if (weightOf(model) === 0) return 0;
  const part = Math.ceil((weightOf(model) / total) * workers);
  return Math.min(workers, Math.max(LEAST_HOLDERS, part));
}

/** Workers that could load the model, those with free places first. */
function candidates(
  held: ReadonlyMap<string, string[]>,
  model: string,
  { perWorker }: LoadsView,
): string[][] {
  const without = [...held.values()].filter((models) => !models.includes(model));
  return without.sort((a, b) => Math.min(a.length, perWorker) - Math.min(b.length, perWorker));
}

function countHolders(held: ReadonlyMap<string, string[]>, model: string): number {
  return [...held.values()].filter((models) => models.includes(model)).length;
}

/** Drops a model that nobody asks for, if the worker is full; a wanted one only where others hold it. */
function makeRoom(
  models: string[],
  options: { wanted: ReadonlySet<string>; perWorker: number; held: ReadonlyMap<string, string[]> },
): boolean {
  if (models.length < options.perWorker) return true;
  const unwanted = models.find((model) => !options.wanted.has(model));
  const spare = models.find((model) => countHolders(options.held, model) > LEAST_HOLDERS);
  const dropped = unwanted ?? spare;
  if (dropped === undefined) return false;
  models.splice(models.indexOf(dropped), 1);
  return true;
}
