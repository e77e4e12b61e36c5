/** The last known state of a worker. */
export enum WorkerState {
  /** Launched, but not yet able to run requests. */
  Starting = "starting",
  /** Accepts requests. */
  Live = "live",
  /** About to be reclaimed or ordered to stop: finishes or hands over its requests and accepts no new ones. */
  Leaving = "leaving",
  /** Has certainly ended. */
  Gone = "gone",
}

/** How a machine is bought, and whether the cloud can reclaim it. */
export enum Purchase {
  /** Cheaper; the cloud may reclaim it at a few seconds' notice. */
  Reclaimable = "reclaimable",
  /** More expensive; available until it is terminated. */
  OnDemand = "on-demand",
}

/** A backend server: one process on a cloud machine that serves one service. */
export interface Worker {
  /** The worker's id. A restarted worker has a new id, unlike a `RoutedWorker`, which may keep its id. */
  readonly id: string;
  /** `http://IP:PORT`. */
  readonly address: string;
  readonly service: string;
  /** Availability zone. */
  readonly zone: string;
  /** Machine class, as in the deployment document's offers. */
  readonly machineClass: string;
  readonly purchase: Purchase;
  readonly state: WorkerState;
  /** When the cloud reclaims the machine, in milliseconds of the clock; absent without a notice. */
  readonly reclaimAt?: number;
}
