import { setMaxListeners } from "node:events";
import { startChild } from "./child.ts";
import type { Child } from "./child.ts";
import type { Quantiles } from "./decision_cost.ts";
import { BenchService } from "./deployment.ts";
import type { EntryReady } from "./entry_process.ts";
import { ask, createAgent, directTarget, entryTarget, steadyLoad, streamLoad } from "./load.ts";
import type { SteadyLoad, Target } from "./load.ts";
import type { StandinsReady } from "./standin_process.ts";

/** What an entry instance costs, against calling the stand-in directly in the same run. */
export interface EntryCost {
  /** Entry instances: the backup of a slot is another one. */
  readonly instances: number;
  readonly latency: {
    /** Milliseconds to the end of a short answer at a steady rate. */
    readonly direct: Quantiles;
    readonly entry: Quantiles;
    /** What the entry instance adds to each quantile, and its ratio. */
    readonly added: Quantiles;
    readonly ratio: Quantiles;
    readonly failed: number;
  };
  readonly streaming: {
    /** Tokens for each second of processor time of the entry instance, or of the stand-in called directly. */
    readonly tokensPerCore: number;
    readonly directTokensPerCore: number;
    readonly tokensPerSecond: number;
    readonly directTokensPerSecond: number;
    readonly failed: number;
  };
  /** Bytes for each 1,000 requests in progress, at the owner and at a backup. */
  readonly memory: {
    readonly inProgress: number;
    readonly ownerResident: number;
    readonly ownerHeap: number;
    readonly backupResident: number;
    readonly backupHeap: number;
  };
  /** Milliseconds from the start of the tasks, and of the process, to taking requests. */
  readonly start: { readonly tasks: number; readonly process: number };
}

const RATE = 200;
const ROUNDS = 3;
const ROUND_LENGTH = 3_000;
const WARM_UP = 3_000;
const SHORT_ANSWER = 8;
const STREAMS = 16;
const STREAM_TOKENS = 2_000;
const STREAM_LENGTH = 5_000;
const STANDING = 1_000;
/** So many at a time: all at once they would be turned away for load. */
const STANDING_STEP = 20;
const STANDING_PAUSE = 10;
/** How long the slot map takes to have both instances in it. */
const SETTLE_TIME = 5_000;
const LOOPBACK = "127.0.0.1:0";
const SECRET = "secret-of-the-bench";

type Entry = Child<EntryReady>;
type Standins = Child<StandinsReady>;

/**
 * Measures one entry instance, with a second one as its backup. Memory is measured on processes of its own:
 * after heavy streaming the heap has room that hides what requests take.
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

/** Rounds of both take turns, so that what else the machine does meets both alike. */
async function compareLatency(direct: Target, entry: Target): Promise<EntryCost["latency"]> {
  const load = { rate: RATE, tokens: SHORT_ANSWER };
  await steadyLoad(direct, { ...load, length: WARM_UP });
  await steadyLoad(entry, { ...load, length: WARM_UP });
  const rounds: { direct: SteadyLoad; entry: SteadyLoad }[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    rounds.push({
      direct: await steadyLoad(direct, { ...load, length: ROUND_LENGTH }),
      entry: await steadyLoad(entry, { ...load, length: ROUND_LENGTH }),
    });
  }
  const directly = medians(rounds.map((round) => round.direct.whole));
  const through = medians(rounds.map((round) => round.entry.whole));
  return {
    direct: directly,
    entry: through,
    added: combine(through, directly, (a, b) => a - b),
    ratio: combine(through, directly, (a, b) => a / b),
    failed: rounds.reduce((sum, round) => sum + round.entry.failed + round.direct.failed, 0),
  };
}

async function compareStreaming({
  direct,
  entry,
  standins,
  owner,
}: Omit<Processes, "backup"> & { direct: Target; entry: Target }): Promise<EntryCost["streaming"]> {
  const load = { streams: STREAMS, tokens: STREAM_TOKENS, length: STREAM_LENGTH };
  const run = async (
    target: Target,
    child: Entry | Standins,
  ): Promise<{ perCore: number; perSecond: number; failed: number }> => {
    const before = await child.usage();
    const { tokens, milliseconds, failed } = await streamLoad(target, load);
    const processor = (await child.usage()).processor - before.processor;
    const rate = (time: number): number => Math.round((tokens * 1_000) / time);
    return { perCore: rate(processor), perSecond: rate(milliseconds), failed };
  };
  await streamLoad(entry, { ...load, length: WARM_UP });
  const directly = await run(direct, standins);
  const through = await run(entry, owner);
  return {
    tokensPerCore: through.perCore,
    directTokensPerCore: directly.perCore,
    tokensPerSecond: through.perSecond,
    directTokensPerSecond: directly.perSecond,
    failed: directly.failed + through.failed,
  };
}

async function measureMemory({ owner, backup }: Processes): Promise<EntryCost["memory"]> {
  const quick = entryTarget(owner.ready.callers);
  await steadyLoad(quick, { rate: RATE, length: ROUND_LENGTH, tokens: SHORT_ANSWER });
  await sleep(SETTLE_TIME);
  const before = { owner: await owner.usage(), backup: await backup.usage() };
  const target = entryTarget(owner.ready.callers, BenchService.Standing);
  const agent = createAgent();
  const ending = new AbortController();
  setMaxListeners(0, ending.signal);
  const standing: Promise<number>[] = [];
  while (standing.length < STANDING) {
    const asked = ask(target, { agent, tokens: 2, signal: ending.signal });
    standing.push(
      asked.then(
        () => 1,
        () => 0,
      ),
    );
    if (standing.length % STANDING_STEP === 0) await sleep(STANDING_PAUSE);
  }
  await sleep(SETTLE_TIME);
  const after = { owner: await owner.usage(), backup: await backup.usage() };
  ending.abort();
  const ended = (await Promise.all(standing)).reduce((a, b) => a + b, 0);
  await agent.destroy();
  const inProgress = STANDING - ended;
  const each = (most: number, least: number): number =>
    inProgress === 0 ? 0 : Math.round(((most - least) * 1_000) / inProgress);
  return {
    inProgress,
    ownerResident: each(after.owner.resident, before.owner.resident),
    ownerHeap: each(after.owner.heap, before.owner.heap),
    backupResident: each(after.backup.resident, before.backup.resident),
    backupHeap: each(after.backup.heap, before.backup.heap),
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
