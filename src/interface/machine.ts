/** What becomes of a worker, as far as anyone has said. */
export enum WorkerState {
  /** Launched, not yet able to take work. */
  Starting = "starting",
  /** Takes work. */
  Live = "live",
  /** Under notice or ordered to stop: finishes or hands over, takes nothing new. */
  Leaving = "leaving",
  /** Known to have ended. */
  Gone = "gone",
}

/** How an instance is paid for and whether it can be taken back. */
export enum Purchase {
  /** Cheaper; the cloud may take it back at a few seconds' notice. */
  Reclaimable = "reclaimable",
  /** Dearer; ours until we give it back. */
  OnDemand = "on-demand",
}

/** A backend server: one process on a cloud instance that serves one service. */
export interface Worker {
  /** The worker's id, unique for its life; a restarted one has another. */
  readonly id: string;
  /** `http://IP:PORT`. */
  readonly address: string;
  readonly service: string;
  /** Availability zone. */
  readonly zone: string;
  /** Machine class, as the prices in the settings name it. */
  readonly machineClass: string;
  readonly purchase: Purchase;
  readonly state: WorkerState;
  /** When the cloud takes the instance, in the clock's milliseconds, if it has said so. */
  readonly reclaimAt?: number;
}
