import type { DeploymentTemplate } from "./deployment_template.ts";

/** The Association's deployment at full size: four availability zones, a model service and a lookup service. */
export const ASSOCIATION_TEMPLATE: DeploymentTemplate = {
  region: "sofia",
  zones: ["sofia-a", "sofia-b", "sofia-c", "sofia-d"],
  machineClass: "standard",
  workers: { "entry-model": 13, "finish-desk": 4 },
  accounts: ["club-sofia", "federation", "finish-tent", "club-plovdiv", "club-varna"],
  preset: "day",
  formatDocument: (
    hashes,
  ) => `// The deployment for orienteering entries. Keep this file in version control and put it in force with
//   samphireshore apply deployment.jsonc --wait
{
  "deployment": "association",
  "region": "sofia",
  "zones": ["sofia-a", "sofia-b", "sofia-c", "sofia-d"],

  "services": {
    // Drafts start lists and checks entries against the rules: long responses.
    "entry-model": {
      "kind": "model",
      // "weights" is the size in bytes of the weights that a worker loads from the weight store at startup.
      "models": [{ "name": "start-list", "version": "1", "adapters": [], "weights": 16000000000 }],
      // Whether a request may run again after a failure, unless the caller states otherwise.
      "repeatable": true,
      // These backend servers refuse orders with an outdated fencing token.
      "checksFence": true,
      "lane": "script",
      "target": { "firstToken": "1.6 s", "betweenTokens": "44 ms", "deadline": "5 min" }
    },
    // Confirms a runner's chip or class while people wait in line: short responses at low latency.
    "finish-desk": {
      "kind": "model",
      "models": [{ "name": "desk", "version": "1", "adapters": [], "weights": 4000000000 }],
      "repeatable": true,
      "checksFence": false,
      "lane": "lookup",
      "target": { "firstToken": "400 ms", "betweenTokens": "44 ms", "deadline": "20 s" }
    }
  },

  // The SHA-256 of each client account's API key; the keys themselves are not stored in the document.
  "accounts": {
    "club-sofia": {
      "keySha256": "${hashes["club-sofia"] ?? ""}",
      "weight": 3, "maxRequests": 600, "maxTokens": 900000,
      "services": ["entry-model", "finish-desk"]
    },
    "federation": {
      "keySha256": "${hashes["federation"] ?? ""}",
      "weight": 3, "maxRequests": 600, "maxTokens": 900000,
      "services": ["entry-model", "finish-desk"]
    },
    "finish-tent": {
      "keySha256": "${hashes["finish-tent"] ?? ""}",
      "weight": 4, "maxRequests": 400, "maxTokens": 200000,
      "services": ["entry-model", "finish-desk"]
    },
    "club-plovdiv": {
      "keySha256": "${hashes["club-plovdiv"] ?? ""}",
      "weight": 1, "maxRequests": 200, "maxTokens": 300000,
      "services": ["entry-model", "finish-desk"]
    },
    "club-varna": {
      "keySha256": "${hashes["club-varna"] ?? ""}",
      "weight": 1, "maxRequests": 200, "maxTokens": 300000,
      "services": ["entry-model", "finish-desk"]
    }
  },

  "machineClasses": {
    "standard": {
      "tokensPerSecond": 900,
      "prefillPerSecond": 8000,
      "cacheTokens": 120000,
      "startUp": "40 s"
    }
  },

  // Prices for each availability zone and machine class.
  "offers": [
    { "zone": "sofia-a", "machineClass": "standard", "reclaimable": "0.8 EUR/h", "onDemand": "2.4 EUR/h" },
    { "zone": "sofia-b", "machineClass": "standard", "reclaimable": "0.9 EUR/h", "onDemand": "2.4 EUR/h" },
    { "zone": "sofia-c", "machineClass": "standard", "reclaimable": "0.7 EUR/h", "onDemand": "2.4 EUR/h" },
    { "zone": "sofia-d", "machineClass": "standard", "reclaimable": "1.0 EUR/h", "onDemand": "2.6 EUR/h" }
  ],

  // Exactly one preset is in force: samphireshore preset use peak --wait
  "presets": {
    "day": {
      "about": "An ordinary weekday.",
      "services": {
        "entry-model": { "least": 3, "most": 13, "reclaimable": 0.9 },
        "finish-desk": { "least": 1, "most": 4, "reclaimable": 0.8 }
      }
    },
    "peak": {
      "about": "Entries close, or the finish tent is busy.",
      "services": {
        "entry-model": { "least": 8, "most": 16, "reclaimable": 0.8 },
        "finish-desk": { "least": 4, "most": 6, "reclaimable": 0.5 }
      }
    },
    "maintenance": {
      "about": "A planned stop: entry-model takes nothing new and finishes what it has.",
      "services": {
        "entry-model": { "least": 0, "most": 4, "reclaimable": 1 },
        "finish-desk": { "least": 2, "most": 4, "reclaimable": 0.5 }
      },
      "paused": ["entry-model"]
    }
  }
}
`,
};
