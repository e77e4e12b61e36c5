import { parseTrace } from "./trace.ts";
import type { Trace } from "./trace.ts";

const DEPLOYMENT = {
  deployment: "sample",
  region: "sofia",
  zones: ["sofia-a", "sofia-b"],
  services: {
    desk: {
      kind: "model",
      models: [{ name: "desk", version: "1", weights: 1_000_000_000 }],
      repeatable: true,
      checksFence: true,
      lane: "script",
      target: { firstToken: "1.6 s", betweenTokens: "44 ms", deadline: "5 min" },
    },
  },
  accounts: {
    club: {
      keySha256: "0".repeat(64),
      weight: 1,
      maxRequests: 1_000,
      maxTokens: 1_000_000,
      services: ["desk"],
    },
  },
  machineClasses: {
    standard: {
      tokensPerSecond: 225,
      prefillPerSecond: 4_000,
      cacheTokens: 40_000,
      startUp: "10 s",
    },
  },
  offers: [
    { zone: "sofia-a", machineClass: "standard", reclaimable: "1 EUR/h", onDemand: "3 EUR/h" },
    { zone: "sofia-b", machineClass: "standard", reclaimable: "1 EUR/h", onDemand: "3 EUR/h" },
  ],
  presets: {
    day: { about: "Always.", services: { desk: { least: 4, most: 6, reclaimable: 1 } } },
  },
};

/** Returns the deployment document of the small trace, as read from a file. */
export function sampleDeployment(): object {
  return DEPLOYMENT;
}

/** Returns the header of a small trace, as on its first line. */
export function sampleHeader(outcomes: object = { lost: 0, services: {} }): string {
  return JSON.stringify({
    kind: "header",
    name: "sample",
    seed: 1,
    duration: 60_000,
    preset: "day",
    weightStore: 1_000_000_000,
    transferRate: 1_000_000_000,
    bytesPerToken: 100_000,
    deployment: DEPLOYMENT,
    outcomes,
  });
}

/** Returns a small trace with a request every half second for one minute, and the given lines. */
export function sampleTrace(lines: readonly object[], outcomes?: object): Trace {
  const arrivals = Array.from({ length: 120 }, (_, index) => ({
    t: index * 500,
    a: "club",
    s: "desk",
    p: 200 + (index % 7) * 40,
    n: 100 + (index % 5) * 60,
    x: `prefix${index % 3}`,
    xt: 128,
  }));
  const text = [...arrivals, ...lines].map((line) => JSON.stringify(line)).join("\n");
  const result = parseTrace(`${sampleHeader(outcomes)}\n${text}\n`, "sample");
  if (result.kind === "read") return result.trace;
  throw new Error(`Line ${result.line}: ${result.message}`);
}
