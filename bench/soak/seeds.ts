/** A run that once violated a guarantee. */
export interface RegressionSeed {
  readonly seed: number;
  /** Duration of the load. */
  readonly seconds: number;
  /** Number of instances and backend servers together. */
  readonly processes: number;
  /** Fault that caused the violation. */
  readonly cause: string;
}

/** All seeds that ever failed, with their causes; `--regressions` runs them. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 113,
    seconds: 30,
    processes: 10,
    cause:
      "An instance was not introduced again to a process that replaced another one, which split the fleet in two.",
  },
  {
    seed: 119,
    seconds: 30,
    processes: 10,
    cause: "As for seed 113, with a single instance split off.",
  },
  { seed: 108, seconds: 30, processes: 10, cause: "As for seed 119." },
  { seed: 109, seconds: 30, processes: 10, cause: "As for seed 119." },
  {
    seed: 103,
    seconds: 30,
    processes: 10,
    cause: "An instance that received a second SIGTERM ended at once, with a request in progress.",
  },
  {
    seed: 1034,
    seconds: 30,
    processes: 10,
    cause: "As for seed 103, with two overlapping rolling restarts.",
  },
  {
    seed: 114,
    seconds: 30,
    processes: 10,
    cause: "The test read the final states while a rolling restart was still in progress.",
  },
  {
    seed: 7311,
    seconds: 30,
    processes: 10,
    cause:
      "The test took a part of a stream for the whole one: its caller left when all of it had arrived at once.",
  },
  { seed: 7325, seconds: 30, processes: 10, cause: "As for seed 7311." },
  {
    seed: 99202,
    seconds: 30,
    processes: 10,
    cause:
      "The stand-in worker sent a seventh event of six to a caller that left after it had received all of a stream.",
  },
];
