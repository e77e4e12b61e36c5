/** One service in a {@linkcode SchedulerSnapshot}; feeds the fleet decision too. */
export interface ServiceSnapshot {
  readonly service: string;
  /** Jobs and tokens of work admitted and not yet placed, here. */
  readonly waitingJobs: number;
  readonly waitingWork: number;
  readonly runningJobs: number;
  /** Tokens of work that arrived a second over the last minute, here: admitted or refused for load. */
  readonly arriving: number;
  /** The same over the minute before. */
  readonly arrivedBefore: number;
  /** Tokens of work a second that ended over the last minute, here. */
  readonly draining: number;
}
