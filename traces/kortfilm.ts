import {
  createAccount,
  raisedCosine,
  createModelService,
  STANDARD_MACHINE_CLASS,
  dailyVariation,
} from "./common.ts";
import { Lane } from "../src/decision/index.ts";
import type { RequestProfile, Workload } from "./workload.ts";

const MINUTE = 60_000;

const SERVICES = ["samphire-pool", "booking-api"];

/** Kortfilm's deployment document: a model service for scripts and lookups, and a plain service. */
export const KORTFILM_DEPLOYMENT = {
  deployment: "kortfilm",
  region: "be-flanders",
  zones: ["gent-a", "gent-b", "antw-a", "antw-b"],
  services: {
    "samphire-pool": createModelService(
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
    "traffic-desk": createAccount(3, SERVICES),
    sales: createAccount(3, SERVICES),
    "cinema-gent": createAccount(2, SERVICES),
    "cinema-antwerp": createAccount(2, SERVICES),
    projection: createAccount(1, SERVICES),
  },
  machineClasses: { standard: STANDARD_MACHINE_CLASS },
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

const PROFILES: readonly RequestProfile[] = [
  // Reel scripts at night. No caller waits, and each answer must be complete.
  {
    service: "samphire-pool",
    arrivalsPerSecond: 0.3,
    promptTokens: [700, 2_200],
    answerTokens: [700, 3_000],
    prefixCount: 4,
    prefixTokens: 640,
    detached: true,
    deadline: 20 * MINUTE,
    maxTokensShare: 0.3,
  },
  // Drafts of cue sheets, due in the morning.
  {
    service: "samphire-pool",
    arrivalsPerSecond: 0.25,
    promptTokens: [500, 1_200],
    answerTokens: [200, 800],
    prefixCount: 4,
    prefixTokens: 448,
    detached: true,
    maxTokensShare: 0.3,
  },
  // Summaries of spots. They are billed, so each runs at most once.
  {
    service: "samphire-pool",
    arrivalsPerSecond: 0.2,
    promptTokens: [400, 900],
    answerTokens: [80, 300],
    prefixCount: 2,
    prefixTokens: 384,
    repeatable: false,
    maxTokensShare: 0.4,
  },
  // Slot status lookups by cinema managers, concurrent with the scripts.
  {
    service: "samphire-pool",
    lane: Lane.Lookup,
    arrivalsPerSecond: 0.6,
    promptTokens: [150, 300],
    answerTokens: [12, 50],
    prefixCount: 1,
    prefixTokens: 128,
    deadline: 20_000,
    maxTokensShare: 0.5,
  },
  // Bookings at a plain service, whose calls may not be repeated.
  {
    service: "booking-api",
    arrivalsPerSecond: 0.6,
    promptTokens: [8, 16],
    answerTokens: [1, 3],
    prefixCount: 0,
    prefixTokens: 0,
    maxTokensShare: 0,
  },
];

const ACCOUNT_SHARES = {
  "traffic-desk": 0.4,
  sales: 0.25,
  "cinema-gent": 0.17,
  "cinema-antwerp": 0.13,
  projection: 0.05,
};

const DURATION = 20 * MINUTE;

/** A night at Kortfilm, compressed from hours to minutes. */
export const KORTFILM_CALM: Workload = {
  profiles: PROFILES,
  accountShares: ACCOUNT_SHARES,
  duration: DURATION,
  rateFactor: (_profile, progress) => dailyVariation(progress),
};

/** Scripts peak in the evening, requests of the desks and cinemas in the morning. */
export const KORTFILM_PEAK: Workload = {
  ...KORTFILM_CALM,
  rateFactor: (profile, progress) =>
    profile.detached === true
      ? 1 + 1.5 * raisedCosine(progress, 0.35)
      : 1 + 2 * raisedCosine(progress, 0.65),
};
