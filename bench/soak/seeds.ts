/** A run in which a promise was once broken. */
export interface RegressionSeed {
  readonly seed: number;
  readonly seconds: number;
  readonly processes: number;
  readonly cause: string;
}

/** Every seed that ever failed, with its cause; `--regressions` plays them. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 113,
    seconds: 30,
    processes: 10,
    cause:
      "An instance wasn't introduced anew to the process that took another's place: two parts.",
  },
  {
    seed: 119,
    seconds: 30,
    processes: 10,
    cause: "The same, with one instance alone.",
  },
  { seed: 108, seconds: 30, processes: 10, cause: "The same." },
  { seed: 109, seconds: 30, processes: 10, cause: "The same." },
  {
    seed: 103,
    seconds: 30,
    processes: 10,
    cause:
      "An instance that was told to stop a second time ended at once, with a request in progress.",
  },
  {
    seed: 1034,
    seconds: 30,
    processes: 10,
    cause: "The same, with two restarts of all in turn that overlap.",
  },
  {
    seed: 114,
    seconds: 30,
    processes: 10,
    cause: "The soak looked at its end while a restart of all in turn still went on.",
  },
];
