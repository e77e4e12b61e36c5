import { createWriteStream } from "node:fs";
import { Command, Flags } from "@oclif/core";
import { createSeededRandom } from "../interface/index.ts";
import { systemClock } from "../process/index.ts";
import { computeWorkerCost, countOutcomes, computeFirstTokenLatency } from "./demo/summary.ts";
import type { LatencyQuantiles } from "./demo/summary.ts";
import { RequestOutcome } from "./demo/caller.ts";
import { checkGuarantees } from "./demo/guarantees.ts";
import type { RunRecords, GuaranteeCheck } from "./demo/guarantees.ts";
import { runScenario } from "./demo/scenario.ts";
import type { Scenario } from "./demo/scenario.ts";
import { startEmbeddedDeployment } from "./embedded_deployment.ts";
import type { EmbeddedDeployment } from "./embedded_deployment.ts";
import {
  createAccountKeys,
  ASSOCIATION_TEMPLATE,
  createDocumentValue,
  createRandomKey,
} from "./template/index.ts";
import { formatTable } from "./text_table.ts";

const DEFAULT_SEED = 1;
/** Number of workers by service. */
const WORKERS_BY_SERVICE = { "entry-model": 4, "finish-desk": 4 };
/** Price of a reclaimable worker in euros per hour: the mean of the offers in the deployment document. */
const PRICE_PER_HOUR = 0.85;

/** Result of the demo run; `--json` prints it under these field names. */
export interface DemoReport {
  /** Number of requests by outcome and refusal reason. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Number of tokens that were computed again, by cause. */
  readonly recomputed: Readonly<Record<string, number>>;
  /** Time to first token in milliseconds, by service. */
  readonly firstToken: Readonly<Record<string, LatencyQuantiles>>;
  /** Cost of the workers over the run, in euros. */
  readonly cost: number;
  /** The checked guarantees. */
  readonly promises: readonly GuaranteeCheck[];
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
    seed: Flags.integer({ description: "Seed of the random load.", default: DEFAULT_SEED }),
    log: Flags.string({
      description:
        "File for the entry instances' changes of state and, at the end, their counters and the failed requests.",
    }),
  };

  override async run(): Promise<DemoReport> {
    const { flags } = await this.parse(Demo);
    const keys = createAccountKeys(ASSOCIATION_TEMPLATE);
    const operatorKey = createRandomKey();
    const log = flags.log === undefined ? undefined : createWriteStream(flags.log);
    const deployment = await startEmbeddedDeployment({
      port: 0,
      entryInstanceCount: 3,
      workerCounts: WORKERS_BY_SERVICE,
      zones: ASSOCIATION_TEMPLATE.zones,
      document: createDocumentValue(ASSOCIATION_TEMPLATE, keys),
      preset: ASSOCIATION_TEMPLATE.preset,
      operatorKey,
      ...(log === undefined ? {} : { log: (line) => void log.write(`${line}\n`) }),
    });
    const startedAt = systemClock.now();
    const records = await runScenario(createScenario(keys), {
      deployment,
      operatorKey,
      clock: systemClock,
      random: createSeededRandom(flags.seed),
      logProgress: (line) =>
        this.log(`${((systemClock.now() - startedAt) / 1_000).toFixed(1)} s  ${line}`),
    });
    const report = createReport(records, deployment, systemClock.now() - startedAt);
    const summary = [...formatCounters(deployment), ...formatFailures(records)];
    for (const line of summary) log?.write(`${line}\n`);
    await deployment.close();
    log?.end();
    this.printReport(report);
    if (!report.held) process.exitCode = 1;
    return report;
  }

  private printReport({ outcomes, recomputed, firstToken, cost, promises }: DemoReport): void {
    const latencies = Object.entries(firstToken).map(([service, latency]) => [
      `first token, ${service}`,
      `p50 ${latency.p50} ms, p95 ${latency.p95} ms, p99 ${latency.p99} ms of ${latency.count}`,
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
    this.log(formatTable(rows));
    this.log("");
    this.log(
      formatTable(
        promises.map(({ promise, held, detail }) => [held ? "holds" : "BROKEN", promise, detail]),
      ),
    );
  }
}

function createScenario(keys: Readonly<Record<string, string>>): Scenario {
  const keysFor = (...names: string[]): string[] => names.map((name) => keys[name] ?? "");
  return {
    streams: [
      {
        name: "lookup",
        service: "finish-desk",
        clientKeys: keysFor("finish-tent", "federation"),
        requestsPerSecond: 15,
        responseTokens: { min: 4, max: 16 },
        atMostOnceShare: 0.1,
        promptPrefixWords: 20,
      },
      {
        name: "script",
        service: "entry-model",
        clientKeys: keysFor("club-sofia", "federation", "club-varna"),
        requestsPerSecond: 3,
        responseTokens: { min: 60, max: 300 },
        atMostOnceShare: 0.3,
        promptPrefixWords: 200,
      },
    ],
    duration: 16_000,
    reclaim: { zone: "sofia-b", at: 5_000, within: 4_000 },
    preset: { name: "peak", at: 11_000 },
    requestTimeout: 30_000,
  };
}

function createReport(
  records: RunRecords,
  deployment: EmbeddedDeployment,
  milliseconds: number,
): DemoReport {
  const promises = checkGuarantees(records);
  const services = Object.keys(WORKERS_BY_SERVICE);
  return {
    outcomes: countOutcomes(records.results),
    recomputed: sumRecomputedTokens(deployment),
    firstToken: Object.fromEntries(
      services.map((service) => [service, computeFirstTokenLatency(records.results, service)]),
    ),
    cost: computeWorkerCost(
      deployment.backends.map(() => ({ pricePerHour: PRICE_PER_HOUR, milliseconds })),
    ),
    promises,
    held: promises.every((check) => check.held),
  };
}

/** Returns one JSON line for each instance, with its counters that aren't 0. */
function formatCounters({ entries }: EmbeddedDeployment): string[] {
  return entries.map(({ self, core }) => {
    const counters = [...core.counters.values].filter(([, count]) => count !== 0);
    return JSON.stringify({ instance: self.id, counters: Object.fromEntries(counters) });
  });
}

/** Returns one JSON line for each request without a complete response, with the workers that started it. */
function formatFailures({ results, runCounts }: RunRecords): string[] {
  const failed = results.filter(({ outcome }) => outcome !== RequestOutcome.Complete);
  return failed.map(({ requestId, loadRequest, outcome, refusalCode, tokens, reconnects }) => {
    const { idempotencyKey, isRepeatable } = loadRequest;
    const workers = runCounts.filter((run) => run.requestId === requestId).map((run) => run.worker);
    return JSON.stringify({
      requestId,
      idempotencyKey,
      isRepeatable,
      outcome,
      refusalCode,
      tokens: tokens.length,
      reconnects,
      workers,
    });
  });
}

/** Prefix of the counters that count recomputed tokens; the rest of the name is the cause. */
const RECOMPUTED_PREFIX = "recomputed.";

function sumRecomputedTokens({ entries }: EmbeddedDeployment): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const { core } of entries) {
    for (const [name, count] of core.counters.values) {
      if (!name.startsWith(RECOMPUTED_PREFIX) || count === 0) continue;
      const cause = name.slice(RECOMPUTED_PREFIX.length);
      sums[cause] = (sums[cause] ?? 0) + count;
    }
  }
  return sums;
}
