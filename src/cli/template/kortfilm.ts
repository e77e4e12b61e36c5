import type { DeploymentTemplate } from "./deployment_template.ts";

/** Kortfilm's deployment at full size: four availability zones, a model service and a plain HTTP service. */
export const KORTFILM_TEMPLATE: DeploymentTemplate = {
  region: "be-flanders",
  zones: ["gent-a", "gent-b", "antw-a", "antw-b"],
  machineClass: "standard",
  workers: { "samphire-pool": 13, "booking-api": 4 },
  accounts: ["reel-scripts", "traffic-desk", "sales", "partner-cinemas", "reporting"],
  preset: "day",
  formatDocument: (
    hashes,
  ) => `// The deployment for reel assembly. Keep this file in version control and put it in force with
//   samphireshore apply deployment.jsonc --wait
{
  "deployment": "kortfilm",
  "region": "be-flanders",
  "zones": ["gent-a", "gent-b", "antw-a", "antw-b"],

  "services": {
    // Writes reel scripts and cue sheets at night, and serves the desks in the morning.
    "samphire-pool": {
      "kind": "model",
      // "weights" is the size in bytes of the weights that a worker loads from the weight store at startup.
      "models": [{ "name": "reel", "version": "1", "adapters": ["cue-sheet"], "weights": 14000000000 }],
      // Whether a request may run again after a failure, unless the caller states otherwise.
      "repeatable": true,
      // These backend servers refuse orders with an outdated fencing token.
      "checksFence": true,
      "lane": "script",
      "target": { "firstToken": "1.6 s", "betweenTokens": "44 ms", "deadline": "30 min" }
    },
    // A plain HTTP service for bookings and slot status. A booking that runs twice bills two brands for one slot.
    "booking-api": {
      "kind": "plain",
      "repeatable": false,
      "checksFence": false,
      "lane": "lookup",
      "target": { "firstToken": "300 ms", "betweenTokens": "44 ms", "deadline": "10 s" }
    }
  },

  // The SHA-256 of each client account's API key; the keys themselves are not stored in the document.
  "accounts": {
    "reel-scripts": {
      "keySha256": "${hashes["reel-scripts"] ?? ""}",
      "weight": 2, "maxRequests": 400, "maxTokens": 2000000,
      "services": ["samphire-pool"]
    },
    "traffic-desk": {
      "keySha256": "${hashes["traffic-desk"] ?? ""}",
      "weight": 3, "maxRequests": 300, "maxTokens": 300000,
      "services": ["samphire-pool", "booking-api"]
    },
    "sales": {
      "keySha256": "${hashes["sales"] ?? ""}",
      "weight": 2, "maxRequests": 300, "maxTokens": 300000,
      "services": ["samphire-pool", "booking-api"]
    },
    "partner-cinemas": {
      "keySha256": "${hashes["partner-cinemas"] ?? ""}",
      "weight": 3, "maxRequests": 300, "maxTokens": 200000,
      "services": ["booking-api"]
    },
    "reporting": {
      "keySha256": "${hashes["reporting"] ?? ""}",
      "weight": 1, "maxRequests": 100, "maxTokens": 300000,
      "services": ["samphire-pool", "booking-api"]
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
    { "zone": "gent-a", "machineClass": "standard", "reclaimable": "0.8 EUR/h", "onDemand": "2.3 EUR/h" },
    { "zone": "gent-b", "machineClass": "standard", "reclaimable": "0.8 EUR/h", "onDemand": "2.3 EUR/h" },
    { "zone": "antw-a", "machineClass": "standard", "reclaimable": "0.7 EUR/h", "onDemand": "2.4 EUR/h" },
    { "zone": "antw-b", "machineClass": "standard", "reclaimable": "0.9 EUR/h", "onDemand": "2.4 EUR/h" }
  ],

  // Exactly one preset is in force: samphireshore preset use night --wait
  "presets": {
    "day": {
      "about": "Desks, sales and cinemas; few scripts.",
      "services": {
        "samphire-pool": { "least": 3, "most": 13, "reclaimable": 0.8 },
        "booking-api": { "least": 2, "most": 4, "reclaimable": 0.5 }
      }
    },
    "night": {
      "about": "Reel scripts: long, and done by the morning.",
      "services": {
        "samphire-pool": { "least": 4, "most": 16, "reclaimable": 1 },
        "booking-api": { "least": 2, "most": 4, "reclaimable": 0.5 }
      }
    },
    "maintenance": {
      "about": "A planned stop: samphire-pool takes nothing new and finishes what it has.",
      "services": {
        "samphire-pool": { "least": 0, "most": 4, "reclaimable": 1 },
        "booking-api": { "least": 2, "most": 4, "reclaimable": 0.5 }
      },
      "paused": ["samphire-pool"]
    }
  }
}
`,
};
