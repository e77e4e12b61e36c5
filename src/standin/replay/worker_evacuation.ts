/**
 * Moves requests away from a worker that the cloud is about to reclaim.
 *
 * The policy's triage decides for each request whether it finishes on the worker, resumes elsewhere
 * at once or late, or resumes with its KV cache. Exports of KV cache share the worker's transfer
 * rate, so they run one after another.
 *
 * @module
 */
import { TriageChoice } from "../../decision/index.ts";
import type { TriageRequest, TriageDecision } from "../../decision/index.ts";
import { Purchase, WorkerState } from "../../interface/index.ts";
import type { Worker } from "../../interface/index.ts";
import type { EntryInstance, EntryInstanceOptions } from "./entry_instance.ts";
import type { Machine } from "./machine.ts";
import type { Run } from "./tracked_request.ts";

/** Milliseconds before a reclaim at which the last requests leave the worker. */
const MOVE_MARGIN = 500;
/** Milliseconds per token that are assumed until a run has produced at least two tokens. */
const DEFAULT_TOKEN_INTERVAL = 30;

/**
 * Moves the requests of an entry instance away from a worker under notice, as the policy's triage
 * decides.
 *
 * @param machine The worker, which the cloud reclaims at `reclaimAt`.
 */
export function evacuateWorker(
  machine: Machine,
  entry: EntryInstance,
  options: EntryInstanceOptions,
): void {
  const { reclaimAt } = machine.worker;
  if (reclaimAt === undefined || machine.worker.state !== WorkerState.Leaving) return;
  const { events, policy, trace, machines } = options;
  const runs = [...entry.runs.values()].filter((run) => run.worker === machine.worker.id);
  const byRequest = new Map(runs.map((run) => [run.request.job.id, run]));
  const workers = [...machines.values()].filter(
    (other) => other.worker.service === machine.worker.service,
  );
  const targets = workers.filter((other) => other.worker.state === WorkerState.Live);
  const machineClass = trace.header.deployment.machineClasses[machine.pool.machineClass];
  const choices = policy.triage(runs.map(toTriageRequest), {
    now: events.now(),
    reclaimAt,
    transferBytesPerSecond: trace.header.transferRate,
    bytesPerToken: trace.header.bytesPerToken,
    targets: targets.map((target) => target.worker),
    prefillPerSecond: machineClass?.prefillPerSecond ?? 1,
    workersWithNotice: workers.map((other) => other.worker).filter(isUnderNotice),
    freeCacheTokens: new Map(targets.map((target) => [target.worker.id, freeCacheTokens(target)])),
    concurrentExports: 0,
  });
  for (const choice of choices) {
    const run = byRequest.get(choice.id);
    if (run !== undefined) applyTriage(choice, { run, machine, entry, options });
  }
}

function isUnderNotice(worker: Worker): boolean {
  return worker.reclaimAt !== undefined && worker.purchase === Purchase.Reclaimable;
}

function freeCacheTokens({ engine }: Machine): number {
  const { cacheCapacity, cacheTokens } = engine.load();
  return cacheCapacity - cacheTokens;
}

function toTriageRequest(run: Run): TriageRequest {
  const { job, deliveredTokens } = run.request;
  const tokenInterval =
    (run.lastTokenAt - (run.firstTokenAt ?? 0)) / Math.max(1, run.tokenCount - 1);
  return {
    id: job.id,
    repeatable: job.repeatable,
    promptTokens: job.promptTokens,
    producedTokens: deliveredTokens,
    remainingTokens: Math.max(1, job.estimate.answerTokens - deliveredTokens),
    tokenTime: run.tokenCount > 1 ? tokenInterval : DEFAULT_TOKEN_INTERVAL,
    deadlineAt: job.deadlineAt,
  };
}

interface Evacuation {
  readonly run: Run;
  readonly machine: Machine;
  readonly entry: EntryInstance;
  readonly options: EntryInstanceOptions;
}

function applyTriage({ choice, target, at }: TriageDecision, evacuation: Evacuation): void {
  const { run, machine, entry, options } = evacuation;
  const { events } = options;
  const now = events.now();
  const targetOption = target === undefined ? {} : { target };
  switch (choice) {
    case TriageChoice.Finish:
    case TriageChoice.Stay:
      break;
    case TriageChoice.ResumeNow:
      entry.moveRun(run, targetOption);
      break;
    case TriageChoice.ResumeLate:
      events.add(at ?? latestMoveTime(machine), () => entry.moveRun(run, targetOption));
      break;
    case TriageChoice.ExportCache:
      events.add(at ?? now, () => exportCache(evacuation, target));
      break;
  }
}

function latestMoveTime({ worker }: Machine): number {
  return (worker.reclaimAt ?? 0) - MOVE_MARGIN;
}

/**
 * Exports the KV cache of a request to another worker. Exports run one after another. A request
 * whose export would end after the reclaim is moved without it.
 */
function exportCache({ run, machine, entry, options }: Evacuation, target?: string): void {
  const { events, trace } = options;
  if (run.hasEnded) return;
  const tokens = machine.engine.exportableTokens(run.id);
  const targetOption = target === undefined ? {} : { target };
  if (tokens === undefined) {
    entry.moveRun(run, targetOption);
    return;
  }
  const { bytesPerToken, transferRate } = trace.header;
  const startsAt = Math.max(events.now(), machine.transferIdleAt);
  const endsAt = startsAt + (tokens * bytesPerToken * 1_000) / transferRate;
  if (endsAt > (machine.worker.reclaimAt ?? 0)) {
    events.add(latestMoveTime(machine), () => entry.moveRun(run, targetOption));
    return;
  }
  machine.transferIdleAt = endsAt;
  events.add(startsAt, () => {
    if (run.hasEnded) return;
    const importedTokens = machine.engine.exportableTokens(run.id) ?? 0;
    entry.detachRun(run);
    events.add(endsAt, () => entry.resumeRequest(run.request, { importedTokens, ...targetOption }));
  });
}
