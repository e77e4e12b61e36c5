import { accountOf, hill, modelService, STANDARD, swell } from "./common.ts";
import { Lane } from "../src/decision/index.ts";
import type { RequestKind, Workload } from "./workload.ts";

const MINUTE = 60_000;

const SERVICES = ["samphire-pool", "booking-api"];

/** Kortfilm's deployment document: a pool for scripts and lookups, and a plain service. */
export const KORTFILM_DEPLOYMENT = {
  deployment: "kortfilm",
  region: "be-flanders",
  zones: ["gent-a", "gent-b", "antw-a", "antw-b"],
  services: {
    "samphire-pool": modelService(
      { name: "reel", weights: 16_000_000_000 },
      { checksFence: false, lane: "script", firstToken: "1.6 s", deadline: "10 min" },
    ),
    "booking-api": {
      kind: "plain",
      repeatable: false,
      checksFence: true,
      lane: "lookup",
      target: { firstToken: "400 ms", betweenTokens: "44 ms", deadline: "20 s" },
    },
  },
  accounts: {
    "traffic-desk": accountOf(3, SERVICES),
    sales: accountOf(3, SERVICES),
    "cinema-gent": accountOf(2, SERVICES),
    "cinema-antwerp": accountOf(2, SERVICES),
    projection: accountOf(1, SERVICES),
  },
  machineClasses: { standard: STANDARD },
  offers: [
    { zone: "gent-a", machineClass: "standard", reclaimable: "0.7 EUR/h", onDemand: "2.2 EUR/h" },
    { zone: "gent-b", machineClass: "standard", reclaimable: "0.8 EUR/h", onDemand: "2.2 EUR/h" },
    { zone: "antw-a", machineClass: "standard", reclaimable: "0.75 EUR/h", onDemand: "2.3 EUR/h" },
    { zone: "antw-b", machineClass: "standard", reclaimable: "0.95 EUR/h", onDemand: "2.5 EUR/h" },
  ],
  presets: {
    night: {
      about: "Scripts run through the night; few lookups.",
      services: {
        "samphire-pool": { least: 3, most: 13, reclaimable: 0.9 },
        "booking-api": { least: 1, most: 4, reclaimable: 0.5 },
      },
    },
    morning: {
      about: "The desks ask while the last scripts end.",
      services: {
        "samphire-pool": { least: 5, most: 16, reclaimable: 0.9 },
        "booking-api": { least: 2, most: 4, reclaimable: 0.5 },
      },
    },
  },
} as const;

const KINDS: readonly RequestKind[] = [
  // Reel scripts: nobody waits at night, and each must arrive whole.
  {
    service: "samphire-pool",
    rate: 0.3,
    prompt: [700, 2_200],
    answer: [700, 3_000],
    prefixes: 4,
    prefixTokens: 640,
    detached: true,
    deadline: 20 * MINUTE,
    bounded: 0.3,
  },
  // Drafts of cue sheets, due in the morning.
  {
    service: "samphire-pool",
    rate: 0.25,
    prompt: [500, 1_200],
    answer: [200, 800],
    prefixes: 4,
    prefixTokens: 448,
    detached: true,
    bounded: 0.3,
  },
  // Summaries of spots are billed: each at most once.
  {
    service: "samphire-pool",
    rate: 0.2,
    prompt: [400, 900],
    answer: [80, 300],
    prefixes: 2,
    prefixTokens: 384,
    repeatable: false,
    bounded: 0.4,
  },
  // Slot-status lookups of cinema managers, beside the scripts.
  {
    service: "samphire-pool",
    lane: Lane.Lookup,
    rate: 0.6,
    prompt: [150, 300],
    answer: [12, 50],
    prefixes: 1,
    prefixTokens: 128,
    deadline: 20_000,
    bounded: 0.5,
  },
  // Bookings: a plain service whose calls may not be repeated.
  {
    service: "booking-api",
    rate: 0.6,
    prompt: [8, 16],
    answer: [1, 3],
    prefixes: 0,
    prefixTokens: 0,
    bounded: 0,
  },
];

const ACCOUNTS = {
  "traffic-desk": 0.4,
  sales: 0.25,
  "cinema-gent": 0.17,
  "cinema-antwerp": 0.13,
  projection: 0.05,
};

const DURATION = 20 * MINUTE;

/** A night of Kortfilm, its hours pressed into minutes. */
export const KORTFILM_CALM: Workload = {
  kinds: KINDS,
  accounts: ACCOUNTS,
  duration: DURATION,
  curve: (_kind, part) => swell(part),
};

/** Scripts come in the evening, the desks and cinemas in the morning. */
export const KORTFILM_PEAK: Workload = {
  ...KORTFILM_CALM,
  curve: (kind, part) =>
    kind.detached === true ? 1 + 1.5 * hill(part, 0.35) : 1 + 2 * hill(part, 0.65),
};
