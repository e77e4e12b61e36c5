import {
  createAccount,
  raisedCosine,
  createModelService,
  STANDARD_MACHINE_CLASS,
  dailyVariation,
} from "./common.ts";
import type { RequestProfile, Workload } from "./workload.ts";

const MINUTE = 60_000;

const SERVICES = ["entry-model", "finish-desk"];

/** The association's deployment document. Prices differ by availability zone. */
export const ASSOCIATION_DEPLOYMENT = {
  deployment: "association",
  region: "sofia",
  zones: ["sofia-a", "sofia-b", "sofia-c", "sofia-d"],
  services: {
    "entry-model": createModelService(
      { name: "start-list", weights: 16_000_000_000 },
      { checksFence: true, lane: "script", firstToken: "1.6 s", deadline: "5 min" },
    ),
    "finish-desk": createModelService(
      { name: "desk", weights: 4_000_000_000 },
      { checksFence: false, lane: "lookup", firstToken: "400 ms", deadline: "20 s" },
    ),
  },
  accounts: {
    "club-sofia": createAccount(3, SERVICES),
    "club-varna": createAccount(3, SERVICES),
    federation: createAccount(2, SERVICES),
    "club-ruse": createAccount(1, SERVICES),
    schools: createAccount(1, SERVICES),
  },
  machineClasses: { standard: STANDARD_MACHINE_CLASS },
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

const PROFILES: readonly RequestProfile[] = [
  // Drafts of start lists from long club rosters.
  {
    service: "entry-model",
    arrivalsPerSecond: 0.45,
    promptTokens: [1_300, 3_200],
    answerTokens: [500, 2_600],
    prefixCount: 8,
    prefixTokens: 1_280,
    maxTokensShare: 0.5,
  },
  // Questions from club secretaries about courses and categories.
  {
    service: "entry-model",
    arrivalsPerSecond: 0.45,
    promptTokens: [560, 900],
    answerTokens: [80, 400],
    prefixCount: 3,
    prefixTokens: 512,
    maxTokensShare: 0.2,
  },
  // Checks of entries against the rules. Each runs at most once.
  {
    service: "entry-model",
    arrivalsPerSecond: 0.25,
    promptTokens: [560, 1_000],
    answerTokens: [30, 120],
    prefixCount: 2,
    prefixTokens: 448,
    repeatable: false,
    maxTokensShare: 0.2,
  },
  // Lookups from the finish area: the chip or class of a runner.
  {
    service: "finish-desk",
    arrivalsPerSecond: 0.8,
    promptTokens: [150, 260],
    answerTokens: [10, 40],
    prefixCount: 1,
    prefixTokens: 128,
    maxTokensShare: 0.5,
  },
];

const ACCOUNT_SHARES = {
  "club-sofia": 0.38,
  "club-varna": 0.27,
  federation: 0.2,
  "club-ruse": 0.1,
  schools: 0.05,
};

const DURATION = 20 * MINUTE;
/** Number of bursts of finish lookups over the duration, one every 4 minutes. */
const FINISH_BURST_COUNT = 5;
/** At its maximum, a burst adds this multiple of the peak's additional lookup rate. */
const BURST_FACTOR = 1.5;

/** A weekend of the association, compressed from hours to minutes. */
export const ASSOCIATION_CALM: Workload = {
  profiles: PROFILES,
  accountShares: ACCOUNT_SHARES,
  duration: DURATION,
  rateFactor: (_profile, progress) => dailyVariation(progress),
};

/**
 * The entry deadline raises the load in the first half. Bursts of finish lookups follow in the
 * second half.
 */
export const ASSOCIATION_PEAK: Workload = {
  ...ASSOCIATION_CALM,
  rateFactor: (profile, progress) => {
    if (profile.service === "entry-model") return 1 + 2 * raisedCosine(progress, 0.4);
    const burst = Math.max(0, Math.sin(2 * Math.PI * FINISH_BURST_COUNT * progress));
    return 1 + raisedCosine(progress, 0.7) * (1 + BURST_FACTOR * burst);
  },
};
