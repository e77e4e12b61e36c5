/**
 * The input and output types of the fleet plan.
 *
 * @module
 */
import type { Purchase, Worker } from "../interface/index.ts";

/** A source of workers: one machine class in one availability zone, bought in one way. */
export interface Pool {
  readonly zone: string;
  readonly machineClass: string;
  readonly purchase: Purchase;
  /** Euros per hour. */
  readonly price: number;
  /** Tokens that one worker generates per second with a full batch. */
  readonly tokensPerSecond: number;
  /** Milliseconds from launch until the worker accepts work, model loading included. */
  readonly startUp: number;
  /** Time of the last refused launch, if any. */
  readonly refusedAt?: number;
  /** Consecutive refused launches. */
  readonly refusals: number;
}

/** The demand for one service and its workers. */
export interface ServiceDemand {
  readonly service: string;
  /** Tokens of work that arrived per second over the last minute. */
  readonly arriving: number;
  /** The same over the minute before, to detect a rise. */
  readonly arrivedBefore: number;
  /** Tokens of work that wait. */
  readonly waiting: number;
  /** Tokens of work in progress, by worker id. */
  readonly inProgress: Readonly<Record<string, number>>;
  readonly workers: readonly Worker[];
  /** Minimum number of workers of the preset. */
  readonly least: number;
  /** Maximum number of workers of the preset. */
  readonly most: number;
  /** Maximum fraction of the workers that may be reclaimable. */
  readonly reclaimable: number;
  /** The service's target for the first token, in milliseconds. */
  readonly firstToken: number;
  /** Bytes that a new worker loads from the weight store; 0 by default. */
  readonly weights?: number;
  /** Clock time of the switch to the current preset, in milliseconds. */
  readonly presetSince?: number;
}

/** The input of a fleet plan. */
export interface FleetView {
  readonly now: number;
  readonly services: readonly ServiceDemand[];
  readonly pools: readonly Pool[];
  readonly zones: readonly string[];
  /** Launches in progress that the platform's list doesn't contain yet. */
  readonly launching: readonly { readonly service: string; readonly pool: Pool }[];
  /** The state that the last plan returned; undefined at first. */
  readonly memory: FleetMemory | undefined;
  /**
   * Bytes per second that the weight store serves to all loads together; unlimited if not given.
   */
  readonly weightStoreRate?: number;
}

/** State kept from plan to plan, for hysteresis. */
export interface FleetMemory {
  /** Start time of the current surplus of workers, by service. */
  readonly surplusSince: Readonly<Record<string, number>>;
  /** The smoothed demand, by service. */
  readonly smoothedDemand?: Readonly<Record<string, SmoothedDemand>>;
}

/** The workers to launch and to retire now. */
export interface FleetPlan {
  readonly launches: readonly { readonly service: string; readonly pool: Pool }[];
  /** Ids of workers that accept no new work from now on and stop when they are empty. */
  readonly retire: readonly string[];
  /** The state to pass to the next plan. */
  readonly memory: FleetMemory;
}

/** A service's smoothed demand, in tokens of work per second. */
export interface SmoothedDemand {
  readonly mean: number;
  /** The usual distance of a minute's demand from the mean. */
  readonly deviation: number;
  /** Time of the last update, in the clock's milliseconds. */
  readonly at: number;
}
