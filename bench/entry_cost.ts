/**
 * Measures what an entry instance adds to the latency, processor time and memory of a request.
 *
 * The entry instance, its backup and the stand-ins run as processes of their own, so that their processor time and
 * memory are measured separately. The same load is sent to the stand-in directly and through the entry instance.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import { startChild } from "./child.ts";
import type { Child } from "./child.ts";
import type { Quantiles } from "./decision_cost.ts";
import { BenchService } from "./deployment.ts";
import type { EntryReady } from "./entry_process.ts";
import {
  sendRequest,
  createAgent,
  directTarget,
  entryTarget,
  runSteadyLoad,
  runStreamLoad,
} from "./load.ts";
import type { SteadyLoadResult, Target } from "./load.ts";
import type { StandinsReady } from "./standin_process.ts";

/** Cost of an entry instance, compared with calling the backend server stand-in directly in the same run. */
export interface EntryCost {
  /** Number of entry instances. It includes the second one, which holds the backup of each slot. */
  readonly instances: number;
  readonly latency: {
    /** Time until the end of a short answer at a steady rate, called directly, in milliseconds. */
    readonly direct: Quantiles;
    /** The same through the entry instance, in milliseconds. */
    readonly entry: Quantiles;
    /** Difference of each quantile, in milliseconds. */
    readonly added: Quantiles;
    /** Ratio of each quantile to the direct one. */
    readonly ratio: Quantiles;
    /** Number of failed requests. */
    readonly failed: number;
  };
  readonly streaming: {
    /** Tokens per second of processor time of the entry instance. */
    readonly tokensPerCore: number;
    /** Tokens per second of processor time of the stand-in, called directly. */
    readonly directTokensPerCore: number;
    /** Tokens per second through the entry instance. */
    readonly tokensPerSecond: number;
    /** Tokens per second from the stand-in, called directly. */
    readonly directTokensPerSecond: number;
    readonly failed: number;
  };
  /** Bytes per 1,000 requests in progress, at the owner and at a backup. */
  readonly memory: {
    /** Number of requests that were in progress. */
    readonly inProgress: number;
    readonly ownerResident: number;
    readonly ownerHeap: number;
    readonly backupResident: number;
    readonly backupHeap: number;
  };
  /** Milliseconds until requests are accepted, from the start of the tasks and from the start of the process. */
  readonly start: { readonly tasks: number; readonly process: number };
}

/** Requests per second. */
const RATE = 200;
const ROUNDS = 3;
/** Milliseconds. */
const ROUND_DURATION = 3_000;
/** Milliseconds. */
const WARM_UP_DURATION = 3_000;
/** Tokens of a short answer. */
const SHORT_ANSWER_TOKENS = 8;
const STREAMS = 16;
const STREAM_TOKENS = 2_000;
/** Milliseconds. */
const STREAM_DURATION = 5_000;
/** Number of requests held open while memory is measured. */
const HELD_REQUESTS = 1_000;
/** Held requests sent per batch. Sent all at once they would be refused because of overload. */
const HELD_BATCH_SIZE = 20;
/** Pause between batches, in milliseconds. */
const HELD_BATCH_PAUSE = 10;
/** Time until the slot map contains both instances, in milliseconds. */
const SETTLE_TIME = 5_000;
const LOOPBACK = "127.0.0.1:0";
const SECRET = "secret-of-the-bench";

type Entry = Child<EntryReady>;
type Standins = Child<StandinsReady>;

/**
 * Measures one entry instance, with a second one as its backup. Memory is measured on separate processes:
 * after heavy streaming the heap has free space that hides the memory requests use.
 */
export async function measureEntry(): Promise<EntryCost> {
  const memory = await withProcesses(measureMemory);
  const rest = await withProcesses(measure);
  return { ...rest, memory };
}

async function withProcesses<Result>(
  use: (processes: Processes) => Promise<Result>,
): Promise<Result> {
  const standins: Standins = await startChild("standin_process", {});
  const owner = await startEntryProcess("entry-1", standins, []);
  const backup = await startEntryProcess("entry-2", standins, [owner.ready.peers]);
  try {
    await sleep(SETTLE_TIME);
    return await use({ standins, owner, backup });
  } finally {
    for (const child of [owner, backup, standins]) await child.close();
  }
}

interface Processes {
  readonly standins: Standins;
  readonly owner: Entry;
  readonly backup: Entry;
}

async function measure({ standins, owner }: Processes): Promise<Omit<EntryCost, "memory">> {
  const direct = directTarget(standins.ready.quick[0] ?? "");
  const entry = entryTarget(owner.ready.callers);
  const latency = await compareLatency(direct, entry);
  const streaming = await compareStreaming({ direct, entry, standins, owner });
  const { startTime, processTime } = owner.ready;
  const start = { tasks: Math.round(startTime), process: Math.round(processTime) };
  return { instances: 2, latency, streaming, start };
}

function startEntryProcess(
  name: string,
  { ready }: Standins,
  seeds: readonly string[],
): Promise<Entry> {
  const { platform } = ready;
  return startChild("entry_process", {
    name,
    zone: "local-a",
    region: "local",
    callers: LOOPBACK,
    peers: LOOPBACK,
    seeds,
    platform: { objects: platform, cloud: platform, instances: platform },
    secrets: { operatorKey: SECRET, peerKey: SECRET },
    reread: 30_000,
  });
}

/** Alternates rounds of both targets, so that other load on the machine affects both equally. */
async function compareLatency(direct: Target, entry: Target): Promise<EntryCost["latency"]> {
  const load = { rate: RATE, tokens: SHORT_ANSWER_TOKENS };
  await runSteadyLoad(direct, { ...load, length: WARM_UP_DURATION });
  await runSteadyLoad(entry, { ...load, length: WARM_UP_DURATION });
  const rounds: { direct: SteadyLoadResult; entry: SteadyLoadResult }[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    rounds.push({
      direct: await runSteadyLoad(direct, { ...load, length: ROUND_DURATION }),
      entry: await runSteadyLoad(entry, { ...load, length: ROUND_DURATION }),
    });
  }
  const directResult = medians(rounds.map((round) => round.direct.totalTime));
  const entryResult = medians(rounds.map((round) => round.entry.totalTime));
  return {
    direct: directResult,
    entry: entryResult,
    added: combine(entryResult, directResult, (a, b) => a - b),
    ratio: combine(entryResult, directResult, (a, b) => a / b),
    failed: rounds.reduce((sum, round) => sum + round.entry.failed + round.direct.failed, 0),
  };
}

async function compareStreaming({
  direct,
  entry,
  standins,
  owner,
}: Omit<Processes, "backup"> & { direct: Target; entry: Target }): Promise<EntryCost["streaming"]> {
  const load = { streams: STREAMS, tokens: STREAM_TOKENS, length: STREAM_DURATION };
  const run = async (
    target: Target,
    child: Entry | Standins,
  ): Promise<{ perCore: number; perSecond: number; failed: number }> => {
    const before = await child.usage();
    const { tokens, milliseconds, failed } = await runStreamLoad(target, load);
    const processor = (await child.usage()).processor - before.processor;
    const rate = (time: number): number => Math.round((tokens * 1_000) / time);
    return { perCore: rate(processor), perSecond: rate(milliseconds), failed };
  };
  await runStreamLoad(entry, { ...load, length: WARM_UP_DURATION });
  const directResult = await run(direct, standins);
  const entryResult = await run(entry, owner);
  return {
    tokensPerCore: entryResult.perCore,
    directTokensPerCore: directResult.perCore,
    tokensPerSecond: entryResult.perSecond,
    directTokensPerSecond: directResult.perSecond,
    failed: directResult.failed + entryResult.failed,
  };
}

async function measureMemory({ owner, backup }: Processes): Promise<EntryCost["memory"]> {
  const quick = entryTarget(owner.ready.callers);
  await runSteadyLoad(quick, { rate: RATE, length: ROUND_DURATION, tokens: SHORT_ANSWER_TOKENS });
  await sleep(SETTLE_TIME);
  const before = { owner: await owner.usage(), backup: await backup.usage() };
  const target = entryTarget(owner.ready.callers, BenchService.Held);
  const agent = createAgent();
  const abortController = new AbortController();
  setMaxListeners(0, abortController.signal);
  const heldRequests: Promise<number>[] = [];
  while (heldRequests.length < HELD_REQUESTS) {
    const request = sendRequest(target, { agent, tokens: 2, signal: abortController.signal });
    heldRequests.push(
      request.then(
        () => 1,
        () => 0,
      ),
    );
    if (heldRequests.length % HELD_BATCH_SIZE === 0) await sleep(HELD_BATCH_PAUSE);
  }
  await sleep(SETTLE_TIME);
  const after = { owner: await owner.usage(), backup: await backup.usage() };
  abortController.abort();
  const ended = (await Promise.all(heldRequests)).reduce((a, b) => a + b, 0);
  await agent.destroy();
  const inProgress = HELD_REQUESTS - ended;
  const perThousand = (current: number, baseline: number): number =>
    inProgress === 0 ? 0 : Math.round(((current - baseline) * 1_000) / inProgress);
  return {
    inProgress,
    ownerResident: perThousand(after.owner.resident, before.owner.resident),
    ownerHeap: perThousand(after.owner.heap, before.owner.heap),
    backupResident: perThousand(after.backup.resident, before.backup.resident),
    backupHeap: perThousand(after.backup.heap, before.backup.heap),
  };
}

function medians(all: readonly Quantiles[]): Quantiles {
  const median = (pick: (one: Quantiles) => number): number => {
    const sorted = all.map(pick).sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
  };
  return {
    p50: median(({ p50 }) => p50),
    p99: median(({ p99 }) => p99),
    mean: median(({ mean }) => mean),
  };
}

function combine(a: Quantiles, b: Quantiles, by: (a: number, b: number) => number): Quantiles {
  const rounded = (value: number): number => Math.round(value * 1_000) / 1_000;
  return {
    p50: rounded(by(a.p50, b.p50)),
    p99: rounded(by(a.p99, b.p99)),
    mean: rounded(by(a.mean, b.mean)),
  };
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
