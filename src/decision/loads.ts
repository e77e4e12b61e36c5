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

/** Plans which models and adapters each worker of a service holds: all of them on each, at first. */
export function planLoads(view: LoadsView): LoadOrder[] {
  const models = view.demand.slice(0, view.perWorker).map(({ model }) => model);
  return view.workers.map((worker) => ({ worker: worker.id, models, role: "serve" }));
}
