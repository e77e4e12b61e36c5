/**
 * An entry instance in a replay. The scheduler and the fair queues are those of the software; the
 * requests come from the trace, and the workers are simulated.
 *
 * A request is admitted, waits in the queue of its service, and is dispatched to a worker. It can
 * have a hedged run beside the first one. When a worker fails or is reclaimed, the request
 * continues on another one from the tokens that its caller has, unless the policy restarts it. The
 * instance records latency, tokens computed again and losses in the measurements.
 *
 * @module
 */
import { createFairQueueClass, Lane, RunEnd } from "../../decision/index.ts";
import type { Arrival, FairQueue, FairQueueTask, Scheduler } from "../../decision/index.ts";
import { RetryCause } from "../../interface/index.ts";
import type { Random } from "../../interface/index.ts";
import type { Deployment } from "../../version/index.ts";
import type { EngineModelEvent } from "../engine_model.ts";
import { BLOCK_TOKENS } from "../prefix_cache.ts";
import type { EventQueue } from "./event_queue.ts";
import type { Machine } from "./machine.ts";
import { addToCount } from "./measurements.ts";
import type { GroupMeasurements, Measurements } from "./measurements.ts";
import type { ReplayPolicy } from "./policy.ts";
import { createRun, trackRequest } from "./tracked_request.ts";
import type { Run, TrackedRequest } from "./tracked_request.ts";
import type { Trace, TraceArrival } from "./trace.ts";

/** Options of an entry instance in a replay. */
export interface EntryInstanceOptions {
  readonly trace: Trace;
  readonly policy: ReplayPolicy;
  readonly events: EventQueue;
  readonly random: Random;
  readonly measurements: Measurements;
  readonly machines: ReadonlyMap<string, Machine>;
  /** Called when a request was submitted to the machine's engine. */
  readonly onWorkSubmitted: (machine: Machine) => void;
  /** Number of entry instances that share the fleet. */
  readonly instanceCount: number;
}

/** An entry instance in a replay. */
export interface EntryInstance {
  readonly scheduler: Scheduler;
  /** Runs in progress, by the id that they have in the engines. */
  readonly runs: ReadonlyMap<string, Run>;
  /** Admits or refuses a request of the trace. */
  handleArrival(arrival: TraceArrival, id: string): void;
  /** Handles an engine event of one of the instance's runs. */
  handleEngineEvent(run: Run, event: EngineModelEvent): void;
  /**
   * Dispatches waiting requests while there is capacity. Called after the end of a run, a load
   * report or a change of workers.
   */
  dispatchWaiting(): void;
  /**
   * Cancels a run on its worker. The request continues on another worker from the tokens that its
   * caller has.
   */
  moveRun(run: Run, options?: { target?: string }): void;
  /** Cancels a run on its worker. The request waits for {@linkcode EntryInstance.resumeRequest}. */
  detachRun(run: Run): void;
  /** Continues a detached request, with an imported KV cache if there is one. */
  resumeRequest(
    request: TrackedRequest,
    options: { importedTokens: number; target?: string },
  ): void;
  /** Handles the failure of a run, such as the loss of its worker. */
  failRun(run: Run, cause: RetryCause): void;
  /** Returns the number of requests that are accepted and not ended. */
  requestsInProgress(): number;
}

/**
 * Network delay in milliseconds, in one direction, between an entry instance and a worker or a
 * caller, across a few availability zones.
 */
const NETWORK_DELAY = 3;
const LOOKUP_PRIORITY = 1;
const SCRIPT_PRIORITY = 0;

/** Creates an entry instance without workers. */
export function createEntryInstance(options: EntryInstanceOptions): EntryInstance {
  const { trace, policy, events, random, measurements, machines } = options;
  const { deployment } = trace.header;
  const scheduler = policy.createScheduler(deployment);
  scheduler.configure(deployment, 0);
  scheduler.setInstances(options.instanceCount, 0);
  const queues = new Map<string, FairQueue<FairQueueTask>>();
  const unplaced = new Map<string, TrackedRequest[]>();
  const runCounts = new Map<string, number>();
  const runs = new Map<string, Run>();
  let requestCount = 0;

  for (const service of Object.keys(deployment.services)) {
    queues.set(service, new (createFairQueueClass(scheduler.queueOptions(service)))());
    unplaced.set(service, []);
  }

  const enqueue = (request: TrackedRequest): void => {
    const { job } = request;
    const run = (): Promise<void> => {
      if (!place(request)) unplacedOf(job.service).push(request);
      return Promise.resolve();
    };
    queues.get(job.service)?.enqueue(run, { id: job.id, job });
  };
  const unplacedOf = (service: string): TrackedRequest[] => unplaced.get(service) ?? [];
  const place = (request: TrackedRequest, target?: string): boolean => {
    const now = events.now();
    const { job } = request;
    const avoid = target === undefined ? request.avoidedWorkers : allWorkersExcept(target);
    const placement = scheduler.place(job, { now, random, avoid });
    if (placement.kind === "wait") return false;
    dispatch(request, placement.worker, request.retryCause);
    return true;
  };
  const allWorkersExcept = (target: string): Set<string> => {
    const others = new Set(machines.keys());
    others.delete(target);
    return others;
  };
  const dispatch = (request: TrackedRequest, worker: string, cause: RetryCause): void => {
    const run = createRun(request, { worker, now: events.now(), cause });
    runs.set(run.id, run);
    addToCount(runCounts, request.job.service, 1);
    events.add(events.now() + NETWORK_DELAY, () => submitToWorker(run));
    considerHedge(run);
  };
  const submitToWorker = (run: Run): void => {
    if (run.hasEnded) return;
    const { request } = run;
    const machine = machines.get(run.worker);
    if (machine === undefined || machine.stoppedAt !== undefined) {
      failRun(run, RetryCause.ConnectFailed);
      return;
    }
    run.isDelivered = true;
    const { job, arrival } = request;
    const isAccepted = machine.engine.submit(
      {
        id: run.id,
        promptTokens: job.promptTokens,
        answerTokens: answerTokensOf(arrival),
        prefix: job.prefix,
        resumedTokens: policy.canResume ? request.deliveredTokens : 0,
        importedTokens: request.importedTokens,
        priority: job.lane === Lane.Lookup ? LOOKUP_PRIORITY : SCRIPT_PRIORITY,
      },
      events.now(),
    );
    request.importedTokens = 0;
    if (isAccepted) options.onWorkSubmitted(machine);
    else abandon(request);
  };
  const considerHedge = (run: Run): void => {
    const { request, dispatchedAt } = run;
    if (run.hasEnded || run.firstTokenAt !== undefined || request.runs.size > 1) return;
    if (!request.job.repeatable) return;
    const avoid = new Set([...request.avoidedWorkers, run.worker]);
    const hedge = scheduler.hedge(request.job, { now: events.now(), random, avoid, dispatchedAt });
    if (hedge.kind === "hedge") {
      measurements.addRetried(RetryCause.Hedge);
      dispatch(request, hedge.worker, RetryCause.Hedge);
    }
    if (hedge.kind === "later") {
      events.add(events.now() + Math.max(1, hedge.delay), () => considerHedge(run));
    }
  };
  const endRun = (run: Run, end: RunEnd, cause?: RetryCause): void => {
    run.hasEnded = true;
    runs.delete(run.id);
    run.request.runs.delete(run.worker);
    addToCount(runCounts, run.request.job.service, -1);
    scheduler.runEnded(run.request.job.id, end, {
      now: events.now(),
      answerTokens: run.request.deliveredTokens,
      worker: run.worker,
      ...(cause === undefined ? {} : { cause }),
    });
  };
  const cancelOnWorker = (run: Run): void => {
    if (run.isDelivered) machines.get(run.worker)?.engine.cancel(run.id, events.now());
  };
  const endRequest = (request: TrackedRequest): void => {
    for (const run of request.runs.values()) {
      cancelOnWorker(run);
      endRun(run, RunEnd.Cancelled);
    }
    request.hasEnded = true;
    requestCount--;
    scheduler.jobEnded(request.job, events.now());
  };
  const abandon = (request: TrackedRequest): void => {
    request.group.lost++;
    endRequest(request);
    dispatchWaiting();
  };
  const expire = (request: TrackedRequest): void => {
    if (request.hasEnded) return;
    const { id, service } = request.job;
    queues.get(service)?.remove(id);
    unplaced.set(
      service,
      unplacedOf(service).filter((other) => other !== request),
    );
    request.group.late++;
    abandon(request);
  };
  const dispatchService = (service: string): void => {
    const queue = queues.get(service);
    if (queue === undefined) return;
    unplaced.set(
      service,
      unplacedOf(service).filter((request) => !place(request)),
    );
    const hasCapacity = (): boolean =>
      (runCounts.get(service) ?? 0) + unplacedOf(service).length <
      scheduler.capacity(service, events.now());
    while (queue.size > 0 && hasCapacity()) void queue.dequeue()?.();
  };
  const dispatchWaiting = (): void => {
    for (const service of queues.keys()) dispatchService(service);
  };
  const deliverToken = (run: Run, index: number, at: number): void => {
    const { request } = run;
    const { group, arrival } = request;
    if (run.firstTokenAt === undefined) {
      run.firstTokenAt = at;
      scheduler.recordFirstToken(request.job.id, at, run.worker);
      cancelOtherRuns(run);
    } else {
      scheduler.recordToken(request.job.id, at, run.worker);
    }
    run.tokenCount++;
    run.lastTokenAt = at;
    request.computedTokens = Math.max(request.computedTokens, arrival.p + index + 1);
    if (index < request.deliveredTokens) {
      // The caller has this token already. A run that started again produced it once more.
      measurements.addRecomputed(run.cause, 1);
      return;
    }
    const now = at + NETWORK_DELAY;
    if (index > 0) group.betweenTokens.add(now - request.lastTokenAt);
    else if (arrival.d !== true) {
      group.firstToken.add(now - arrival.t);
      group.recentFirstTokens.push(now - arrival.t);
    }
    if (index === 0) request.firstTokenTime = now - arrival.t;
    request.lastTokenAt = now;
    request.deliveredTokens = index + 1;
  };
  const cancelOtherRuns = (run: Run): void => {
    for (const other of run.request.runs.values()) {
      if (other === run) continue;
      cancelOnWorker(other);
      endRun(other, RunEnd.Cancelled);
    }
  };
  const completeRun = (run: Run): void => {
    const { request } = run;
    const { group, arrival } = request;
    group.answered++;
    const target = deployment.services[arrival.s]?.target.firstToken ?? 0;
    const isTimely = arrival.d === true || request.firstTokenTime <= target;
    // Answers that end after the trace don't count. Otherwise a long queue would look like a high
    // throughput.
    if (isTimely && events.now() <= trace.header.duration) {
      group.goodputTokens += answerTokensOf(arrival);
    }
    endRun(run, RunEnd.Complete);
    endRequest(request);
    dispatchWaiting();
  };
  const recordStart = (run: Run, computed: number): void => {
    const { request } = run;
    run.startCount++;
    measurements.addRecomputed(recomputeCauseOf(run), Math.min(computed, request.computedTokens));
    request.computedTokens = Math.max(request.computedTokens, request.arrival.p);
  };
  const detachRun = (run: Run): void => {
    cancelOnWorker(run);
    endRun(run, RunEnd.Moved);
    run.request.avoidedWorkers.add(run.worker);
  };
  const resumeRequest: EntryInstance["resumeRequest"] = (request, { importedTokens, target }) => {
    if (request.hasEnded || request.runs.size > 0) return;
    request.retryCause = RetryCause.WorkerReclaimed;
    request.importedTokens = importedTokens;
    measurements.addRetried(request.retryCause);
    continueRequest(request, target);
  };
  const continueRequest = (request: TrackedRequest, target?: string): void => {
    const resumedTokens = policy.canResume ? request.deliveredTokens : 0;
    request.job = { ...request.job, resumedTokens };
    const isPlaced = (target !== undefined && place(request, target)) || place(request);
    if (!isPlaced) unplacedOf(request.job.service).push(request);
    dispatchWaiting();
  };
  const failRun = (run: Run, cause: RetryCause): void => {
    if (run.hasEnded) return;
    const { request } = run;
    endRun(run, RunEnd.Failed, cause);
    request.avoidedWorkers.add(run.worker);
    if (request.runs.size > 0) return;
    const retry = scheduler.retry(request.job, cause, { now: events.now(), random });
    const mayHaveRun = run.isDelivered && !request.job.repeatable;
    if (mayHaveRun || retry.kind === "stop") {
      abandon(request);
      return;
    }
    request.retryCause = cause;
    measurements.addRetried(cause);
    events.add(events.now() + retry.delay, () => {
      if (!request.hasEnded && request.runs.size === 0) continueRequest(request);
    });
  };

  return {
    scheduler,
    runs,
    handleArrival: (traceArrival, id) => {
      const arrival = toArrival(traceArrival, id, deployment);
      const group = groupOf(measurements, { arrival, deployment });
      group.arrived++;
      const admission = scheduler.admit(arrival, events.now());
      if (admission.kind === "refused") {
        addToCount(group.refused, admission.reason, 1);
        return;
      }
      const request = trackRequest(admission.job, { arrival: traceArrival, group });
      requestCount++;
      events.add(arrival.deadlineAt, () => expire(request));
      enqueue(request);
      dispatchService(arrival.service);
    },
    handleEngineEvent: (run, event) => {
      if (run.hasEnded) return;
      if (event.kind === "started") recordStart(run, event.computed);
      if (event.kind === "token") deliverToken(run, event.index, event.at);
      if (event.kind === "finished") completeRun(run);
    },
    dispatchWaiting,
    moveRun: (run, { target } = {}) => {
      if (run.hasEnded) return;
      detachRun(run);
      resumeRequest(
        run.request,
        target === undefined ? { importedTokens: 0 } : { importedTokens: 0, target },
      );
    },
    detachRun,
    resumeRequest,
    failRun,
    requestsInProgress: () => requestCount,
  };
}

/** Returns why an engine computes tokens that were computed before for the same request. */
function recomputeCauseOf({ startCount, attempt, cause }: Run): RetryCause {
  if (startCount > 1) return RetryCause.CacheLost;
  // The first run starts after another one only if a hedged run was faster.
  return attempt === 1 ? RetryCause.Hedge : cause;
}

function answerTokensOf({ n, m }: TraceArrival): number {
  return m === undefined ? n : Math.min(n, m);
}

function toArrival(traceArrival: TraceArrival, id: string, deployment: Deployment): Arrival {
  const service = deployment.services[traceArrival.s];
  return {
    id,
    account: traceArrival.a,
    service: traceArrival.s,
    model: service?.kind === "model" ? (service.models[0]?.name ?? "") : "",
    lane: traceArrival.l ?? (service?.lane === "script" ? Lane.Script : Lane.Lookup),
    promptTokens: traceArrival.p,
    ...(traceArrival.m === undefined ? {} : { maxTokens: traceArrival.m }),
    prefix: prefixBlocksOf(traceArrival),
    prefixTokens: prefixBlocksOf(traceArrival).length * BLOCK_TOKENS,
    repeatable: traceArrival.r ?? service?.repeatable ?? true,
    detached: traceArrival.d ?? false,
    arrivedAt: traceArrival.t,
    deadlineAt: traceArrival.t + (traceArrival.dl ?? service?.target.deadline ?? 0),
  };
}

function prefixBlocksOf({ x, xt, p }: TraceArrival): string[] {
  if (x === undefined) return [];
  const blocks = Math.floor(Math.min(p, xt ?? p) / BLOCK_TOKENS);
  return Array.from({ length: blocks }, (_, index) => `${x}:${index}`);
}

function groupOf(
  measurements: Measurements,
  { arrival, deployment }: { arrival: Arrival; deployment: Deployment },
): GroupMeasurements {
  const target = deployment.services[arrival.service]?.target;
  if (target === undefined) throw new Error(`Unknown service "${arrival.service}".`);
  return measurements.group(`${arrival.service}/${arrival.lane}`, target);
}
