import { accountOf, hill, modelService, STANDARD, swell } from "./common.ts";
import type { RequestKind, Workload } from "./workload.ts";

const MINUTE = 60_000;

const SERVICES = ["entry-model", "finish-desk"];

/** The Association's deployment document, with prices that differ by availability zone. */
export const ASSOCIATION_DEPLOYMENT = {
  deployment: "association",
  region: "sofia",
  zones: ["sofia-a", "sofia-b", "sofia-c", "sofia-d"],
  services: {
    "entry-model": modelService(
      { name: "start-list", weights: 16_000_000_000 },
      { checksFence: true, lane: "script", firstToken: "1.6 s", deadline: "5 min" },
    ),
    "finish-desk": modelService(
      { name: "desk", weights: 4_000_000_000 },
      { checksFence: false, lane: "lookup", firstToken: "400 ms", deadline: "20 s" },
    ),
  },
  accounts: {
    "club-sofia": accountOf(3, SERVICES),
    "club-varna": accountOf(3, SERVICES),
    federation: accountOf(2, SERVICES),
    "club-ruse": accountOf(1, SERVICES),
    schools: accountOf(1, SERVICES),
  },
  machineClasses: { standard: STANDARD },
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
        "finish-desk": { least: 2, most: 4, reclaimable: 0.9 },
      },
    },
    peak: {
      about: "Entries close, or the finish tent is busy.",
      services: {
        "entry-model": { least: 6, most: 16, reclaimable: 0.9 },
        "finish-desk": { least: 3, most: 6, reclaimable: 0.9 },
      },
    },
  },
} as const;

const KINDS: readonly RequestKind[] = [
  // Drafts of start lists from long club rosters.
  {
    service: "entry-model",
    rate: 0.45,
    prompt: [1_300, 3_200],
    answer: [500, 2_600],
    prefixes: 8,
    prefixTokens: 1_280,
    bounded: 0.5,
  },
  // Questions of secretaries about courses and categories.
  {
    service: "entry-model",
    rate: 0.45,
    prompt: [560, 900],
    answer: [80, 400],
    prefixes: 3,
    prefixTokens: 512,
    bounded: 0.2,
  },
  // Entries checked against the rules: each at most once.
  {
    service: "entry-model",
    rate: 0.25,
    prompt: [560, 1_000],
    answer: [30, 120],
    prefixes: 2,
    prefixTokens: 448,
    repeatable: false,
    bounded: 0.2,
  },
  // The finish tent: a runner's chip or class.
  {
    service: "finish-desk",
    rate: 0.8,
    prompt: [150, 260],
    answer: [10, 40],
    prefixes: 1,
    prefixTokens: 128,
    bounded: 0.5,
  },
];

const ACCOUNTS = {
  "club-sofia": 0.38,
  "club-varna": 0.27,
  federation: 0.2,
  "club-ruse": 0.1,
  schools: 0.05,
};

const DURATION = 20 * MINUTE;
/** Finish times of a course: a burst of lookups every few minutes. */
const FINISH_BURSTS = 5;
const BURST_FACTOR = 1.5;

/** A weekend of the Association, its hours pressed into minutes. */
export const ASSOCIATION_CALM: Workload = {
  kinds: KINDS,
  accounts: ACCOUNTS,
  duration: DURATION,
  curve: (_kind, part) => swell(part),
};

/** Entries close in the first half; the finish tent is busy in the second, in bursts. */
export const ASSOCIATION_PEAK: Workload = {
  ...ASSOCIATION_CALM,
  curve: (kind, part) => {
    if (kind.service === "entry-model") return 1 + 2 * hill(part, 0.4);
    const burst = Math.max(0, Math.sin(2 * Math.PI * FINISH_BURSTS * part));
    return 1 + hill(part, 0.7) * (1 + BURST_FACTOR * burst);
  },
};
