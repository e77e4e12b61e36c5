import { createHash } from "node:crypto";

/** API key of the benchmark's client account. */
export const BENCH_KEY = "key-of-the-bench";

/** Services of the benchmark deployment. */
export enum BenchService {
  /** Answers at once. */
  Quick = "quick",
  /** Holds its requests open. */
  Held = "standing",
}

/** Number of backend servers of each service. */
export const WORKERS = 8;

function service(): object {
  return {
    kind: "model",
    models: [{ name: "bench", version: "1", weights: 1 }],
    repeatable: true,
    checksFence: false,
    lane: "lookup",
    target: { firstToken: "10 min", betweenTokens: "1 min", deadline: "30 min" },
  };
}

const CAPACITY = { least: WORKERS, most: WORKERS, reclaimable: 1 };

/** Deployment document whose quotas and capacities are far above the load of the benchmarks. */
export const BENCH_DEPLOYMENT = {
  deployment: "bench",
  region: "local",
  zones: ["local-a", "local-b"],
  services: { [BenchService.Quick]: service(), [BenchService.Held]: service() },
  accounts: {
    bench: {
      keySha256: createHash("sha256").update(BENCH_KEY).digest("hex"),
      weight: 1,
      maxRequests: 1_000_000,
      maxTokens: 1_000_000_000,
      services: Object.values(BenchService),
    },
  },
  machineClasses: {
    standard: {
      tokensPerSecond: 1_000_000,
      prefillPerSecond: 10_000_000,
      cacheTokens: 100_000_000,
      startUp: "1 s",
    },
  },
  offers: [
    { zone: "local-a", machineClass: "standard", reclaimable: "1 EUR/h", onDemand: "2 EUR/h" },
  ],
  presets: {
    day: {
      about: "The bench.",
      services: { [BenchService.Quick]: CAPACITY, [BenchService.Held]: CAPACITY },
    },
  },
};
