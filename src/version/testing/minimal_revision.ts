import { formatRevision } from "../revision.ts";

/** A minimal deployment document that the schema accepts, with two presets. */
export const MINIMAL_DOCUMENT = {
  deployment: "test",
  region: "test",
  zones: ["z0"],
  services: {
    desk: {
      kind: "plain",
      repeatable: true,
      checksFence: true,
      lane: "lookup",
      target: { firstToken: "1 s", betweenTokens: "40 ms", deadline: "10 s" },
    },
    booking: {
      kind: "plain",
      repeatable: false,
      checksFence: false,
      lane: "lookup",
      target: { firstToken: "1 s", betweenTokens: "40 ms", deadline: "10 s" },
    },
  },
  accounts: {},
  machineClasses: {
    standard: {
      tokensPerSecond: 900,
      prefillPerSecond: 8_000,
      cacheTokens: 100_000,
      startUp: "40 s",
    },
  },
  offers: [{ zone: "z0", machineClass: "standard", reclaimable: "1 EUR/h", onDemand: "2 EUR/h" }],
  presets: {
    day: {
      about: "An ordinary day.",
      services: { desk: { least: 1, most: 4, reclaimable: 1 } },
    },
    peak: {
      about: "A busy day.",
      services: { desk: { least: 2, most: 8, reclaimable: 1 } },
    },
  },
};

/** A serialized revision of the minimal document with the active preset `day`. */
export const MINIMAL_REVISION = formatRevision({
  source: MINIMAL_DOCUMENT,
  preset: "day",
  changes: [],
});
