/**
 * Plans which models and adapters each worker of a service has loaded.
 *
 * Load: many adapters of which few are in demand at any hour, and workers that can hold only some
 * of them. Loading on the first request makes its caller wait for seconds; loading all changes at
 * once exhausts the rate of the weight store and makes every load late. Symptom: first tokens that
 * are late by the load time whenever demand changes, and workers that load and drop the same
 * adapter by turns.
 *
 * Mechanism: each model with demand is loaded on a fraction of the workers equal to its fraction of
 * the work, but on at least two of them (one may be reclaimed at any time), first on those that
 * already have it. A model without demand stays loaded as long as its place isn't needed, because
 * dropping it gains nothing. A worker changes only if a model is missing, and no more workers
 * change at once than the weight store can serve in a minute. Each plan reads what is loaded now,
 * so later plans complete the rest.
 *
 * @module
 */
import { WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";

/** The demand for one model, adapter or version of a service. */
export interface ModelDemand {
  /** `MODEL` or `MODEL+ADAPTER`. */
  readonly model: string;
  /** Tokens of work per second. */
  readonly arriving: number;
  /** Tokens of work that wait. */
  readonly waiting: number;
  /** Bytes to load. */
  readonly weights: number;
}

/** The input of the plan for one service. */
export interface ModelLoadsView {
  readonly now: number;
  readonly workers: readonly Worker[];
  /** The loaded models of each worker, by worker id, as last reported or ordered. */
  readonly loadedModels: ReadonlyMap<string, readonly string[]>;
  readonly demand: readonly ModelDemand[];
  /** The number of models, including adapters, that fit on one worker. */
  readonly modelsPerWorker: number;
  /** Bytes per second of the weight store. */
  readonly weightStoreRate: number;
  /** Loads in progress, over all workers. */
  readonly activeLoads: number;
}

/** The complete target state of a worker. */
export interface LoadOrder {
  readonly worker: string;
  readonly models: readonly string[];
  readonly role: string;
}

const ROLE = "serve";
/**
 * The minimum number of workers that have a model with demand loaded; one of them may be reclaimed
 * at any time.
 */
const MIN_HOLDERS = 2;
/** Seconds of the weight store's rate that simultaneous loads may use. */
const LOAD_WINDOW = 60;

/** Plans the loads of a service; returns an order for each live worker. */
export function planModelLoads(view: ModelLoadsView): LoadOrder[] {
  const workers = view.workers.filter(({ state }) => state === WorkerState.Live);
  const modelsByWorker = new Map(
    workers.map(({ id }) => [id, [...(view.loadedModels.get(id) ?? [])]]),
  );
  const demand = [...view.demand].sort((a, b) => demandWeight(b) - demandWeight(a));
  const total = demand.reduce((sum, model) => sum + demandWeight(model), 0);
  const inDemand = new Set(demand.filter((one) => demandWeight(one) > 0).map(({ model }) => model));
  let byteBudget = LOAD_WINDOW * view.weightStoreRate - loadingBytes(view);
  for (const model of demand) {
    const holders = requiredHolders(model, { total, workers: workers.length });
    for (const models of candidates(modelsByWorker, model.model, view)) {
      if (countHolders(modelsByWorker, model.model) >= holders || byteBudget <= 0) break;
      if (!freePlace(models, { inDemand, modelsPerWorker: view.modelsPerWorker, modelsByWorker }))
        continue;
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
  const proportionalHolders = Math.ceil((demandWeight(model) / total) * workers);
  return Math.min(workers, Math.max(MIN_HOLDERS, proportionalHolders));
}

/** Returns the model lists of the workers without the model, those with free places first. */
function candidates(
  modelsByWorker: ReadonlyMap<string, string[]>,
  model: string,
  { modelsPerWorker }: ModelLoadsView,
): string[][] {
  const without = [...modelsByWorker.values()].filter((models) => !models.includes(model));
  return without.sort(
    (a, b) => Math.min(a.length, modelsPerWorker) - Math.min(b.length, modelsPerWorker),
  );
}

function countHolders(modelsByWorker: ReadonlyMap<string, string[]>, model: string): number {
  return [...modelsByWorker.values()].filter((models) => models.includes(model)).length;
}

/**
 * Drops a model from a full worker: one without demand, otherwise one that more than the minimum
 * number of workers have loaded. Returns whether there is a free place.
 */
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
