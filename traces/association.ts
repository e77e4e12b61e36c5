import type { RequestKind, Workload } from "./workload.ts";

const MINUTE = 60_000;

const KEY = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

function account(weight: number): object {
  const services = ["entry-model", "finish-desk"];
  return { keySha256: KEY, weight, maxRequests: 400, maxTokens: 600_000, services };
}

/** The Association's deployment document, with prices that differ by availability zone. */
export const ASSOCIATION_DEPLOYMENT = {
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
    "club-sofia": account(3),
    "club-varna": account(3),
    federation: account(2),
    "club-ruse": account(1),
    schools: account(1),
  },
  machineClasses: {
    standard: {
      tokensPerSecond: 225,
      prefillPerSecond: 4_000,
      cacheTokens: 40_000,
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
  curve: (_kind, part) => 1 + 0.2 * Math.sin(2 * Math.PI * part),
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

/** Rises from 0 to 1 at `top` and falls again, over three tenths of the duration to each side. */
export function hill(part: number, top: number): number {
  const distance = Math.abs(part - top) / 0.3;
  return distance >= 1 ? 0 : 0.5 + 0.5 * Math.cos(Math.PI * distance);
}
