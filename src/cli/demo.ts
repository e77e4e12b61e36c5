import { Command, Flags } from "@oclif/core";
import { createSeededRandom } from "../interface/index.ts";
import { systemClock } from "../process/index.ts";
import { costOf, countOutcomes, latencyOf } from "./demo/summary.ts";
import type { Latency } from "./demo/summary.ts";
import { checkPromises } from "./demo/guarantees.ts";
import type { Evidence, PromiseCheck } from "./demo/guarantees.ts";
import { play } from "./demo/scenario.ts";
import type { Scenario } from "./demo/scenario.ts";
import { startEmbedded } from "./embedded_deployment.ts";
import type { EmbeddedDeployment } from "./embedded_deployment.ts";
import { accountKeys, ASSOCIATION, documentValue, randomKey } from "./template/index.ts";
import { textTable } from "./text_table.ts";

const SEED = 1;
/** Number of workers by service. */
const WORKERS = { "entry-model": 4, "finish-desk": 4 };
/** Price of a reclaimable worker in euros per hour: the mean of the offers in the deployment document. */
const PRICE = 0.85;

/** Result of the demo run; `--json` prints it under these field names. */
export interface DemoReport {
  /** Number of requests by outcome and refusal reason. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Number of tokens that were computed again, by cause. */
  readonly recomputed: Readonly<Record<string, number>>;
  /** Time to first token in milliseconds, by service. */
  readonly firstToken: Readonly<Record<string, Latency>>;
  /** Cost of the workers over the run, in euros. */
  readonly cost: number;
  /** The checked guarantees. */
  readonly promises: readonly PromiseCheck[];
  /** Whether every guarantee held. */
  readonly held: boolean;
}

/** `samphireshore demo`: runs a deployment under load, with a zone reclaim and a preset switch. */
export class Demo extends Command {
  static override description =
    "Run a deployment in one process under a mixed load, with an announced reclaim of a whole availability zone and a preset switch. Exits with 0 only if every guarantee holds.";
  static override examples = ["samphireshore demo --json"];
  static override enableJsonFlag = true;
  static override flags = {
    seed: Flags.integer({ description: "Seed of the random load.", default: SEED }),
  };

  override async run(): Promise<DemoReport> {
    const { flags } = await this.parse(Demo);
    const keys = accountKeys(ASSOCIATION);
    const operatorKey = randomKey();
    const deployment = await startEmbedded({
      port: 0,
      entryInstances: 3,
      workers: WORKERS,
      zones: ASSOCIATION.zones,
      source: documentValue(ASSOCIATION, keys),
      preset: ASSOCIATION.preset,
      operatorKey,
    });
    const startedAt = systemClock.now();
    const evidence = await play(scenarioOf(keys), {
      deployment,
      operatorKey,
      clock: systemClock,
      random: createSeededRandom(flags.seed),
      progress: (line) =>
        this.log(`${((systemClock.now() - startedAt) / 1_000).toFixed(1)} s  ${line}`),
    });
    const report = reportOf(evidence, deployment, systemClock.now() - startedAt);
    await deployment.close();
    this.show(report);
    if (!report.held) process.exitCode = 1;
    return report;
  }

  private show({ outcomes, recomputed, firstToken, cost, promises }: DemoReport): void {
    const latencies = Object.entries(firstToken).map(([service, found]) => [
      `first token, ${service}`,
      `p50 ${found.p50} ms, p95 ${found.p95} ms, p99 ${found.p99} ms of ${found.count}`,
    ]);
    const rows = [
      ...Object.entries(outcomes).map(([name, count]) => [`requests ${name}`, String(count)]),
      ...Object.entries(recomputed).map(([cause, tokens]) => [
        `recomputed tokens, ${cause}`,
        String(tokens),
      ]),
      ...latencies,
      ["cost of the workers", `${cost.toFixed(4)} EUR`],
    ];
    this.log("");
    this.log(textTable(rows));
    this.log("");
    this.log(
      textTable(
        promises.map(({ promise, held, detail }) => [held ? "holds" : "BROKEN", promise, detail]),
      ),
    );
  }
}

function scenarioOf(keys: Readonly<Record<string, string>>): Scenario {
  const keysOf = (...names: string[]): string[] => names.map((name) => keys[name] ?? "");
  return {
    streams: [
      {
        name: "lookup",
        service: "finish-desk",
        clientKeys: keysOf("finish-tent", "federation"),
        rate: 15,
        answerTokens: { least: 4, most: 16 },
        onceShare: 0.1,
        promptWords: 20,
      },
      {
        name: "script",
        service: "entry-model",
        clientKeys: keysOf("club-sofia", "federation", "club-varna"),
        rate: 3,
        answerTokens: { least: 60, most: 300 },
        onceShare: 0.3,
        promptWords: 200,
      },
    ],
    duration: 16_000,
    reclaim: { zone: "sofia-b", at: 5_000, within: 4_000 },
    preset: { name: "peak", at: 11_000 },
    patience: 30_000,
  };
}

function reportOf(
  evidence: Evidence,
  deployment: EmbeddedDeployment,
  milliseconds: number,
): DemoReport {
  const promises = checkPromises(evidence);
  const services = Object.keys(WORKERS);
  return {
    outcomes: countOutcomes(evidence.errands),
    recomputed: recomputedOf(deployment),
    firstToken: Object.fromEntries(
      services.map((service) => [service, latencyOf(evidence.errands, service)]),
    ),
    cost: costOf(deployment.backends.map(() => ({ pricePerHour: PRICE, milliseconds }))),
    promises,
    held: promises.every((promise) => promise.held),
  };
}

/** Prefix of the counters that count recomputed tokens; the rest of the name is the cause. */
const RECOMPUTED = "recomputed.";

function recomputedOf({ entries }: EmbeddedDeployment): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const { core } of entries) {
    for (const [name, count] of core.counters.values) {
      if (!name.startsWith(RECOMPUTED) || count === 0) continue;
      const cause = name.slice(RECOMPUTED.length);
      sums[cause] = (sums[cause] ?? 0) + count;
    }
  }
  return sums;
}
