/**
 * One service in a {@linkcode SchedulerSnapshot}; also an input of the fleet plan. All counts are
 * those of this instance.
 */
export interface ServiceSnapshot {
  readonly service: string;
  /** Jobs admitted and not yet placed. */
  readonly waitingJobs: number;
  /** Tokens of work of those jobs. */
  readonly waitingWork: number;
  /** Jobs placed on a worker. */
  readonly runningJobs: number;
  /**
   * Tokens of work that arrived per second over the last minute, admitted or refused because of
   * load.
   */
  readonly arriving: number;
  /** The same over the minute before. */
  readonly arrivedBefore: number;
  /** Tokens of work per second that were completed over the last minute. */
  readonly draining: number;
}
