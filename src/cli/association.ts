/** The Association's deployment document, as `dev` and `demo` use it. */
export const ASSOCIATION = {
  deployment: "association",
  region: "sofia",
  zones: ["sofia-a", "sofia-b", "sofia-c", "sofia-d"],
  services: {
    "entry-model": {
      kind: "model",
      models: [{ name: "start-list", version: "1", adapters: [], weights: 16_000_000_000 }],
      repeatable: true,
      checksFence: true,
      lane: "script",
      target: { firstToken: "1.6 s", betweenTokens: "44 ms", deadline: "5 min" },
    },
    "finish-desk": {
      kind: "model",
      models: [{ name: "desk", version: "1", adapters: [], weights: 4_000_000_000 }],
      repeatable: true,
      checksFence: false,
      lane: "lookup",
      target: { firstToken: "400 ms", betweenTokens: "44 ms", deadline: "20 s" },
    },
  },
  accounts: {
    "club-sofia": {
      keySha256: "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
      weight: 1,
      maxRequests: 400,
      maxTokens: 400_000,
      services: ["entry-model", "finish-desk"],
    },
  },
  machineClasses: {
    standard: {
      tokensPerSecond: 900,
      prefillPerSecond: 8_000,
      cacheTokens: 120_000,
      startUp: "40 s",
    },
  },
  offers: [
    { zone: "sofia-a", machineClass: "standard", reclaimable: "0.8 EUR/h", onDemand: "2.4 EUR/h" },
    { zone: "sofia-b", machineClass: "standard", reclaimable: "0.9 EUR/h", onDemand: "2.4 EUR/h" },
    { zone: "sofia-c", machineClass: "standard", reclaimable: "0.7 EUR/h", onDemand: "2.4 EUR/h" },
    { zone: "sofia-d", machineClass: "standard", reclaimable: "1.0 EUR/h", onDemand: "2.6 EUR/h" },
  ],
  presets: {
    day: {
      about: "An ordinary weekday.",
      services: {
        "entry-model": { least: 3, most: 13, reclaimable: 0.9 },
        "finish-desk": { least: 1, most: 4, reclaimable: 0.8 },
      },
      paused: [],
    },
    peak: {
      about: "Entries close, or the finish tent is busy.",
      services: {
        "entry-model": { least: 8, most: 16, reclaimable: 0.8 },
        "finish-desk": { least: 4, most: 6, reclaimable: 0.5 },
      },
      paused: [],
    },
    maintenance: {
      about: "A planned stop: new scripts wait for the next preset.",
      services: {
        "entry-model": { least: 0, most: 4, reclaimable: 1 },
        "finish-desk": { least: 2, most: 4, reclaimable: 0.5 },
      },
      paused: ["entry-model"],
    },
  },
};
