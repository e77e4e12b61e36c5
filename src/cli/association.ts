import { createHash } from "node:crypto";

/** The Association's client accounts with their weights; the first is the one that `dev` gives a key for. */
const ACCOUNTS = {
  "club-sofia": { weight: 3, maxRequests: 600, maxTokens: 900_000 },
  federation: { weight: 3, maxRequests: 600, maxTokens: 900_000 },
  "finish-tent": { weight: 4, maxRequests: 400, maxTokens: 200_000 },
  "club-plovdiv": { weight: 1, maxRequests: 200, maxTokens: 300_000 },
  "club-varna": { weight: 1, maxRequests: 200, maxTokens: 300_000 },
} as const;

/** Names of the Association's client accounts. */
export type AssociationAccount = keyof typeof ACCOUNTS;

/** All of the Association's client accounts, the largest first. */
export const ASSOCIATION_ACCOUNTS = Object.keys(ACCOUNTS) as readonly AssociationAccount[];

const SERVICES = {
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
};

const OFFERS = [
  { zone: "sofia-a", machineClass: "standard", reclaimable: "0.8 EUR/h", onDemand: "2.4 EUR/h" },
  { zone: "sofia-b", machineClass: "standard", reclaimable: "0.9 EUR/h", onDemand: "2.4 EUR/h" },
  { zone: "sofia-c", machineClass: "standard", reclaimable: "0.7 EUR/h", onDemand: "2.4 EUR/h" },
  { zone: "sofia-d", machineClass: "standard", reclaimable: "1.0 EUR/h", onDemand: "2.6 EUR/h" },
];

const PRESETS = {
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
    about: "A planned stop: entry-model takes nothing new and finishes what it has.",
    services: {
      "entry-model": { least: 0, most: 4, reclaimable: 1 },
      "finish-desk": { least: 2, most: 4, reclaimable: 0.5 },
    },
    paused: ["entry-model"],
  },
};

/**
 * The Association's deployment document, as `dev` and `demo` use it.
 *
 * @param keys The key of each client account.
 * @returns The document as its file would have it.
 */
export function associationDeployment(keys: Readonly<Record<AssociationAccount, string>>): unknown {
  const accounts = Object.fromEntries(
    ASSOCIATION_ACCOUNTS.map((name) => [
      name,
      { ...ACCOUNTS[name], keySha256: sha256(keys[name]), services: Object.keys(SERVICES) },
    ]),
  );
  return {
    deployment: "association",
    region: "sofia",
    zones: ASSOCIATION_ZONES,
    services: SERVICES,
    accounts,
    machineClasses: {
      standard: {
        tokensPerSecond: 900,
        prefillPerSecond: 8_000,
        cacheTokens: 120_000,
        startUp: "40 s",
      },
    },
    offers: OFFERS,
    presets: PRESETS,
  };
}

/** The Association's availability zones. */
export const ASSOCIATION_ZONES: readonly string[] = ["sofia-a", "sofia-b", "sofia-c", "sofia-d"];

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
