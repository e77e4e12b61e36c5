import type { Purchase, Worker } from "../interface/index.ts";

/** A place to launch workers in: one machine class in one availability zone, bought one way. */
export interface Pool {
  readonly zone: string;
  readonly machineClass: string;
  readonly purchase: Purchase;
  /** Euros an hour. */
  readonly price: number;
  readonly tokensPerSecond: number;
  /** Milliseconds from launch to taking work, model loading included. */
  readonly startUp: number;
  /** When launches were last refused here, if ever. */
  readonly refusedAt?: number;
  /** Refusals in a row. */
  readonly refusals: number;
}

/** What the fleet decision knows of one service. */
export interface ServiceDemand {
  readonly service: string;
  /** Tokens of work that arrived a second, over the last minute. */
  readonly arriving: number;
  /** The same a minute before, to see which way it goes. */
  readonly arrivedBefore: number;
  /** Tokens of work that wait. */
  readonly waiting: number;
  /** Tokens of work in progress, by worker. */
  readonly inProgress: Readonly<Record<string, number>>;
  readonly workers: readonly Worker[];
  /** The preset's bounds. */
  readonly least: number;
  readonly most: number;
  /** Greatest part of the workers that may be reclaimable. */
  readonly reclaimable: number;
  /** The service's target for the first token, in milliseconds. */
  readonly firstToken: number;
  /** Bytes that a new worker loads from the weight store; 0 where not given. */
  readonly weights?: number;
  /** When the preset in force was switched to, in the clock's milliseconds. */
  readonly presetSince?: number;
}

/** What the fleet decision knows. */
export interface FleetView {
  readonly now: number;
  readonly services: readonly ServiceDemand[];
  readonly pools: readonly Pool[];
  readonly zones: readonly string[];
  /** Launches under way that the platform's list doesn't show yet. */
  readonly launching: readonly { readonly service: string; readonly pool: Pool }[];
  /** What the last plan remembered; undefined at first. */
  readonly memory: FleetMemory | undefined;
  /** Bytes a second that the weight store gives to all loads together; unbounded where not given. */
  readonly weightStoreRate?: number;
}

/** What is remembered from plan to plan, for hysteresis. */
export interface FleetMemory {
  /** Since when a service has had more workers than it needs, by service. */
  readonly surplusSince: Readonly<Record<string, number>>;
  /** The smoothed demand, by service. */
  readonly smoothedDemand?: Readonly<Record<string, SmoothedDemand>>;
}

/** What is to be done now. */
export interface FleetPlan {
  readonly launches: readonly { readonly service: string; readonly pool: Pool }[];
  /** Ids of workers that take nothing new from now on and stop when they are empty. */
  readonly retire: readonly string[];
  readonly memory: FleetMemory;
}

/** A service's demand, smoothed, in tokens of work a second. */
export interface SmoothedDemand {
  readonly mean: number;
  /** How far minutes usually are from the mean. */
  readonly deviation: number;
  /** When it was last brought up to date. */
  readonly at: number;
}
