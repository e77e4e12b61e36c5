/**
 * Entry point of the benchmark: `npm run bench -- [--json] [--only decisions|entry]`.
 *
 * It measures the cost of the scheduling decisions, and the latency, processor time and memory that an entry
 * instance adds to calling a backend server directly. Absolute times depend on the machine; compare only the
 * ratios within a run.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { measureDecisions } from "./decision_cost.ts";
import type { DecisionCost } from "./decision_cost.ts";
import { measureEntry } from "./entry_cost.ts";
import type { EntryCost } from "./entry_cost.ts";

const { values } = parseArgs({
  options: { json: { type: "boolean", default: false }, only: { type: "string" } },
});
const isSelected = (part: string): boolean => (values.only ?? part) === part;
const decisions = isSelected("decisions") ? measureDecisions() : undefined;
const entry = isSelected("entry") ? await measureEntry() : undefined;
if (values.json) console.log(JSON.stringify({ decisions, entry }));
else {
  if (decisions !== undefined) printDecisions(decisions);
  if (entry !== undefined) printEntry(entry);
}

function printDecisions(costs: readonly DecisionCost[]): void {
  console.log("Microseconds for one request's decisions, p50 (p99):");
  for (const { workers, waiting, admit, queue, place, total } of costs) {
    const [a, q, p, t] = [admit, queue, place, total].map(({ p50, p99 }) => `${p50} (${p99})`);
    console.log(
      `  ${workers} workers, ${waiting} waiting: admit ${a}, queue ${q}, place ${p}, all ${t}`,
    );
  }
}

function printEntry({ latency, streaming, memory, start }: EntryCost): void {
  const { direct, entry: entryLatency, added, ratio, failed } = latency;
  console.log("One entry instance with a backup, compared with calling the stand-in directly:");
  console.log(`  latency p50 ${entryLatency.p50} ms, direct ${direct.p50}, added ${added.p50} ms`);
  console.log(`  latency p99 ${entryLatency.p99} ms, direct ${direct.p99}, added ${added.p99} ms`);
  console.log(`  ratio p50 ${ratio.p50}, p99 ${ratio.p99}; failed ${failed}`);
  console.log(
    `  streamed tokens per second per core ${streaming.tokensPerCore}` +
      `, direct ${streaming.directTokensPerCore}; failed ${streaming.failed}`,
  );
  console.log(
    `  memory for 1,000 requests in progress (${memory.inProgress} held): owner` +
      ` ${megabytes(memory.ownerResident)} resident, ${megabytes(memory.ownerHeap)} heap; backup` +
      ` ${megabytes(memory.backupResident)} resident, ${megabytes(memory.backupHeap)} heap`,
  );
  console.log(
    `  time until ready: ${start.tasks} ms from the start of the tasks, ${start.process} ms of the process`,
  );
}

function megabytes(bytes: number): string {
  return `${Math.round(bytes / 100_000) / 10} MB`;
}
