import { TriageChoice } from "../../decision/index.ts";
import type { TriageRequest, TriageDecision } from "../../decision/index.ts";
import { Purchase, WorkerState } from "../../interface/index.ts";
import type { Worker } from "../../interface/index.ts";
import type { Entry, EntryOptions } from "./entry.ts";
import type { Machine } from "./machine.ts";
import type { Run } from "./tracked_request.ts";

/** How long before an instance is taken its last requests leave it. */
const LATE_MARGIN = 500;
/** Milliseconds a token where a run has shown no pace yet. */
const USUAL_TOKEN_TIME = 30;

/**
 * Has an entry instance save its requests from a worker under notice, as the policy's triage chooses.
 *
 * @param machine The worker, which the cloud takes at `reclaimAt`.
 */
export function saveRequests(machine: Machine, entry: Entry, options: EntryOptions): void {
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
  const choices = policy.triage(runs.map(endangered), {
    now: events.now(),
    reclaimAt,
    transferBytesPerSecond: trace.header.transferRate,
    bytesPerToken: trace.header.bytesPerToken,
    targets: targets.map((target) => target.worker),
    prefillPerSecond: machineClass?.prefillPerSecond ?? 1,
    workersWithNotice: workers.map((other) => other.worker).filter(isUnderNotice),
    freeCacheTokens: new Map(targets.map((target) => [target.worker.id, roomOf(target)])),
    concurrentExports: 0,
  });
  for (const choice of choices) {
    const run = byRequest.get(choice.id);
    if (run !== undefined) follow(choice, { run, machine, entry, options });
  }
}

function isUnderNotice(worker: Worker): boolean {
  return worker.reclaimAt !== undefined && worker.purchase === Purchase.Reclaimable;
}

function roomOf({ engine }: Machine): number {
  const { cacheCapacity, cacheTokens } = engine.load();
  return cacheCapacity - cacheTokens;
}

function endangered(run: Run): TriageRequest {
  const { job, produced } = run.request;
  const pace = (run.lastTokenAt - (run.firstTokenAt ?? 0)) / Math.max(1, run.tokens - 1);
  return {
    id: job.id,
    repeatable: job.repeatable,
    promptTokens: job.promptTokens,
    producedTokens: produced,
    remainingTokens: Math.max(1, job.estimate.answerTokens - produced),
    tokenTime: run.tokens > 1 ? pace : USUAL_TOKEN_TIME,
    deadlineAt: job.deadlineAt,
  };
}

interface Case {
  readonly run: Run;
  readonly machine: Machine;
  readonly entry: Entry;
  readonly options: EntryOptions;
}

function follow({ choice, target, at }: TriageDecision, one: Case): void {
  const { run, machine, entry, options } = one;
  const { events } = options;
  const now = events.now();
  const to = target === undefined ? {} : { target };
  switch (choice) {
    case TriageChoice.Finish:
    case TriageChoice.Stay:
      break;
    case TriageChoice.ResumeNow:
      entry.move(run, to);
      break;
    case TriageChoice.ResumeLate:
      events.add(at ?? lastMoment(machine), () => entry.move(run, to));
      break;
    case TriageChoice.ExportCache:
      events.add(at ?? now, () => exportCache(one, target));
      break;
  }
}

function lastMoment({ worker }: Machine): number {
  return (worker.reclaimAt ?? 0) - LATE_MARGIN;
}

/** The KV cache of one request after another leaves the worker; what would leave too late goes without. */
function exportCache({ run, machine, entry, options }: Case, target?: string): void {
  const { events, trace } = options;
  if (run.ended) return;
  const tokens = machine.engine.exportable(run.id);
  const to = target === undefined ? {} : { target };
  if (tokens === undefined) {
    entry.move(run, to);
    return;
  }
  const { bytesPerToken, transferRate } = trace.header;
  const begins = Math.max(events.now(), machine.transferFreeAt);
  const ends = begins + (tokens * bytesPerToken * 1_000) / transferRate;
  if (ends > (machine.worker.reclaimAt ?? 0)) {
    events.add(lastMoment(machine), () => entry.move(run, to));
    return;
  }
  machine.transferFreeAt = ends;
  events.add(begins, () => {
    if (run.ended) return;
    const imported = machine.engine.exportable(run.id) ?? 0;
    entry.detach(run);
    events.add(ends, () => entry.resume(run.request, { imported, ...to }));
  });
}
