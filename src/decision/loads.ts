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
export interface ModelLoadsView {
  readonly now: number;
  readonly workers: readonly Worker[];
  /** What each worker has loaded, by worker id, as last reported or ordered. */
  readonly loadedModels: ReadonlyMap<string, readonly string[]>;
  readonly demand: readonly ModelDemand[];
  /** How many models, with adapters, fit on one worker. */
  readonly modelsPerWorker: number;
  /** Bytes a second of the weight store. */
  readonly weightStoreRate: number;
  /** Loads under way, over all workers. */
  readonly activeLoads: number;
}

/** What a worker is to be, in absolute terms. */
export interface LoadOrder {
  readonly worker: string;
  readonly models: readonly string[];
  readonly role: string;
}

const ROLE = "serve";
const MIN_HOLDERS = 2;
/** Seconds of the weight store's rate that loads at the same time may take. */
const LOAD_WINDOW = 60;

/** Plans the loads of a service; the result has an order for each worker that takes work. */
export function planModelLoads(view: ModelLoadsView): LoadOrder[] {
  const workers = view.workers.filter(({ state }) => state === WorkerState.Live);
  const modelsByWorker = new Map(workers.map(({ id }) => [id, [...(view.loadedModels.get(id) ?? [])]]));
  const demand = [...view.demand].sort((a, b) => demandWeight(b) - demandWeight(a));
  const total = demand.reduce((sum, model) => sum + demandWeight(model), 0);
  const inDemand = new Set(demand.filter((one) => demandWeight(one) > 0).map(({ model }) => model));
  let byteBudget = LOAD_WINDOW * view.weightStoreRate - loadingBytes(view);
  for (const model of demand) {
    const holders = requiredHolders(model, { total, workers: workers.length });
    for (const models of candidates(modelsByWorker, model.model, view)) {
      if (countHolders(modelsByWorker, model.model) >= holders || byteBudget <= 0) break;
      if (!freePlace(models, { inDemand, modelsPerWorker: view.modelsPerWorker, modelsByWorker })) continue;
      models.push(model.model);
      byteBudget -= model.weights;
    }
  }
  return workers.map(({ id }) => ({
    worker: id,
    models: modelsByWorker.get(id) ?? [],
    role: ROLE,
  }));
}

function demandWeight({ arriving, waiting }: ModelDemand): number {
  return arriving + waiting / LOAD_WINDOW;
}

function loadingBytes({ activeLoads, demand }: ModelLoadsView): number {
  return activeLoads * Math.max(0, ...demand.map(({ weights }) => weights));
}

function requiredHolders(
  model: ModelDemand,
  { total, workers }: { total: number; workers: number },
): number {
  if (demandWeight(model) === 0) return 0;
  const part = Math.ceil((demandWeight(model) / total) * workers);
  return Math.min(workers, Math.max(MIN_HOLDERS, part));
}

/** Workers that could load the model, those with free places first. */
function candidates(
  modelsByWorker: ReadonlyMap<string, string[]>,
  model: string,
  { modelsPerWorker }: ModelLoadsView,
): string[][] {
  const without = [...modelsByWorker.values()].filter((models) => !models.includes(model));
  return without.sort((a, b) => Math.min(a.length, modelsPerWorker) - Math.min(b.length, modelsPerWorker));
}

function countHolders(modelsByWorker: ReadonlyMap<string, string[]>, model: string): number {
  return [...modelsByWorker.values()].filter((models) => models.includes(model)).length;
}

/** Drops a model that nobody asks for, if the worker is full; a inDemand one only where others hold it. */
function freePlace(
  models: string[],
  options: {
    inDemand: ReadonlySet<string>;
    modelsPerWorker: number;
    modelsByWorker: ReadonlyMap<string, string[]>;
  },
): boolean {
  if (models.length < options.modelsPerWorker) return true;
  const unwanted = models.find((model) => !options.inDemand.has(model));
  const spare = models.find((model) => countHolders(options.modelsByWorker, model) > MIN_HOLDERS);
  const dropped = unwanted ?? spare;
  if (dropped === undefined) return false;
  models.splice(models.indexOf(dropped), 1);
  return true;
}
