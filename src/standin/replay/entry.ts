import { createFairQueueClass, Lane, RunEnd } from "../../decision/index.ts";
import type { Arrival, FairQueue, FairQueueTask, Scheduler } from "../../decision/index.ts";
import { RetryCause } from "../../interface/index.ts";
import type { Random } from "../../interface/index.ts";
import type { Deployment } from "../../version/index.ts";
import type { EngineModelEvent } from "../engine_model.ts";
import { BLOCK_TOKENS } from "../prefix_cache.ts";
import type { EventQueue } from "./event_queue.ts";
import type { Machine } from "./machine.ts";
import { addTo } from "./measurements.ts";
import type { GroupMeasurements, Measurements } from "./measurements.ts";
import type { ReplayPolicy } from "./policy.ts";
import { createRun, trackRequest } from "./tracked_request.ts";
import type { Run, TrackedRequest } from "./tracked_request.ts";
import type { Trace, TraceArrival } from "./trace.ts";

/** What one entry instance of a replay works with. */
export interface EntryOptions {
  readonly trace: Trace;
  readonly policy: ReplayPolicy;
  readonly events: EventQueue;
  readonly random: Random;
  readonly measurements: Measurements;
  readonly machines: ReadonlyMap<string, Machine>;
  /** The machine's engine has been given something to do. */
  readonly wake: (machine: Machine) => void;
  readonly instances: number;
}

/** One entry instance in a replay: the real scheduler and fair queues around requests of the trace. */
export interface Entry {
  readonly scheduler: Scheduler;
  /** Runs in progress by the id that engines know them by. */
  readonly runs: ReadonlyMap<string, Run>;
  arrive(arrival: TraceArrival, id: string): void;
  /** Something happened to one of the instance's runs. */
  engineEvent(run: Run, event: EngineModelEvent): void;
  /** Sends on what waits, as far as there is room: after a run's end, a report, a change of workers. */
  drain(): void;
  /** Takes a run off its worker; its request goes on elsewhere from the tokens that its caller has. */
  move(run: Run, options?: { target?: string }): void;
  /** Takes a run off its worker and leaves its request to {@linkcode Entry.resume}. */
  detach(run: Run): void;
  /** Has a detached request go on, from imported KV cache if there is any. */
  resume(request: TrackedRequest, options: { imported: number; target?: string }): void;
  /** The run's worker has gone. */
  fail(run: Run, cause: RetryCause): void;
  /** Requests accepted and not ended. */
  inProgress(): number;
}

/** One way between an entry instance and a worker, or a caller: a few availability zones' distance. */
const NETWORK_TIME = 3;
const LOOKUP_PRIORITY = 1;
const SCRIPT_PRIORITY = 0;

/** Makes an entry instance that knows no workers yet. */
export function createEntry(options: EntryOptions): Entry {
  const { trace, policy, events, random, measurements, machines } = options;
  const { deployment } = trace.header;
  const scheduler = policy.createScheduler(deployment);
  scheduler.configure(deployment, 0);
  scheduler.setInstances(options.instances, 0);
  const queues = new Map<string, FairQueue<FairQueueTask>>();
  const parked = new Map<string, TrackedRequest[]>();
  const taken = new Map<string, number>();
  const runs = new Map<string, Run>();
  let inProgress = 0;

  for (const service of Object.keys(deployment.services)) {
    queues.set(service, new (createFairQueueClass(scheduler.queueOptions(service)))());
    parked.set(service, []);
  }

  const enqueue = (request: TrackedRequest): void => {
    const { job } = request;
    const run = (): Promise<void> => {
      if (!place(request)) parkedOf(job.service).push(request);
      return Promise.resolve();
    };
    queues.get(job.service)?.enqueue(run, { id: job.id, job });
  };
  const parkedOf = (service: string): TrackedRequest[] => parked.get(service) ?? [];
  const place = (request: TrackedRequest, target?: string): boolean => {
    const now = events.now();
    const { job } = request;
    const avoid = target === undefined ? request.avoid : othersThan(target);
    const placement = scheduler.place(job, { now, random, avoid });
    if (placement.kind === "wait") return false;
    dispatch(request, placement.worker, request.cause);
    return true;
  };
  const othersThan = (target: string): Set<string> => {
    const others = new Set(machines.keys());
    others.delete(target);
    return others;
  };
  const dispatch = (request: TrackedRequest, worker: string, cause: RetryCause): void => {
    const run = createRun(request, { worker, now: events.now(), cause });
    runs.set(run.id, run);
    addTo(taken, request.job.service, 1);
    events.add(events.now() + NETWORK_TIME, () => deliver(run));
    askHedge(run);
  };
  const deliver = (run: Run): void => {
    if (run.ended) return;
    const { request } = run;
    const machine = machines.get(run.worker);
    if (machine === undefined || machine.stoppedAt !== undefined) {
      fail(run, RetryCause.ConnectFailed);
      return;
    }
    run.delivered = true;
    const { job, arrival } = request;
    const fits = machine.engine.submit(
      {
        id: run.id,
        promptTokens: job.promptTokens,
        answerTokens: answerOf(arrival),
        prefix: job.prefix,
        resumedTokens: policy.resumes ? request.produced : 0,
        importedTokens: request.imported,
        priority: job.lane === Lane.Lookup ? LOOKUP_PRIORITY : SCRIPT_PRIORITY,
      },
      events.now(),
    );
    request.imported = 0;
    if (fits) options.wake(machine);
    else giveUp(request);
  };
  const askHedge = (run: Run): void => {
    const { request, dispatchedAt } = run;
    if (run.ended || run.firstTokenAt !== undefined || request.runs.size > 1) return;
    if (!request.job.repeatable) return;
    const avoid = new Set([...request.avoid, run.worker]);
    const hedge = scheduler.hedge(request.job, { now: events.now(), random, avoid, dispatchedAt });
    if (hedge.kind === "hedge") {
      measurements.addRetried(RetryCause.Hedge);
      dispatch(request, hedge.worker, RetryCause.Hedge);
    }
    if (hedge.kind === "later") {
      events.add(events.now() + Math.max(1, hedge.delay), () => askHedge(run));
    }
  };
  const endRun = (run: Run, end: RunEnd, cause?: RetryCause): void => {
    run.ended = true;
    runs.delete(run.id);
    run.request.runs.delete(run.worker);
    addTo(taken, run.request.job.service, -1);
    scheduler.runEnded(run.request.job.id, end, {
      now: events.now(),
      answerTokens: run.request.produced,
      worker: run.worker,
      ...(cause === undefined ? {} : { cause }),
    });
  };
  const cancelOnWorker = (run: Run): void => {
    if (run.delivered) machines.get(run.worker)?.engine.cancel(run.id, events.now());
  };
  const endRequest = (request: TrackedRequest): void => {
    for (const run of request.runs.values()) {
      cancelOnWorker(run);
      endRun(run, RunEnd.Cancelled);
    }
    request.ended = true;
    inProgress--;
    scheduler.jobEnded(request.job, events.now());
  };
  const giveUp = (request: TrackedRequest): void => {
    request.group.lost++;
    endRequest(request);
    drain();
  };
  const passDeadline = (request: TrackedRequest): void => {
    if (request.ended) return;
    const { id, service } = request.job;
    queues.get(service)?.remove(id);
    parked.set(
      service,
      parkedOf(service).filter((other) => other !== request),
    );
    request.group.late++;
    giveUp(request);
  };
  const drainService = (service: string): void => {
    const queue = queues.get(service);
    if (queue === undefined) return;
    parked.set(
      service,
      parkedOf(service).filter((request) => !place(request)),
    );
    const room = (): boolean =>
      (taken.get(service) ?? 0) + parkedOf(service).length <
      scheduler.capacity(service, events.now());
    while (queue.size > 0 && room()) void queue.dequeue()?.();
  };
  const drain = (): void => {
    for (const service of queues.keys()) drainService(service);
  };
  const deliverToken = (run: Run, index: number, at: number): void => {
    const { request } = run;
    const { group, arrival } = request;
    if (run.firstTokenAt === undefined) {
      run.firstTokenAt = at;
      scheduler.recordFirstToken(request.job.id, at, run.worker);
      endOtherRuns(run);
    } else {
      scheduler.recordToken(request.job.id, at, run.worker);
    }
    run.tokens++;
    run.lastTokenAt = at;
    request.computed = Math.max(request.computed, arrival.p + index + 1);
    if (index < request.produced) {
      // The caller has it already: a run that began again makes it anew.
      measurements.addRecomputed(run.cause, 1);
      return;
    }
    const now = at + NETWORK_TIME;
    if (index > 0) group.betweenTokens.add(now - request.lastTokenAt);
    else if (arrival.d !== true) {
      group.firstToken.add(now - arrival.t);
      group.recentFirstTokens.push(now - arrival.t);
    }
    if (index === 0) request.firstTokenTime = now - arrival.t;
    request.lastTokenAt = now;
    request.produced = index + 1;
  };
  const endOtherRuns = (run: Run): void => {
    for (const other of run.request.runs.values()) {
      if (other === run) continue;
      cancelOnWorker(other);
      endRun(other, RunEnd.Cancelled);
    }
  };
  const complete = (run: Run): void => {
    const { request } = run;
    const { group, arrival } = request;
    group.answered++;
    const target = deployment.services[arrival.s]?.target.firstToken ?? 0;
    const inTime = arrival.d === true || request.firstTokenTime <= target;
    // What ends after the trace was not done in its time: a long queue would look like great speed.
    if (inTime && events.now() <= trace.header.duration) {
      group.timelyTokens += answerOf(arrival);
    }
    endRun(run, RunEnd.Complete);
    endRequest(request);
    drain();
  };
  const countStart = (run: Run, computed: number): void => {
    const { request } = run;
    run.starts++;
    measurements.addRecomputed(causeOfStart(run), Math.min(computed, request.computed));
    request.computed = Math.max(request.computed, request.arrival.p);
  };
  const detach = (run: Run): void => {
    cancelOnWorker(run);
    endRun(run, RunEnd.Moved);
    run.request.avoid.add(run.worker);
  };
  const resume: Entry["resume"] = (request, { imported, target }) => {
    if (request.ended || request.runs.size > 0) return;
    request.cause = RetryCause.WorkerReclaimed;
    request.imported = imported;
    measurements.addRetried(request.cause);
    goOn(request, target);
  };
  const goOn = (request: TrackedRequest, target?: string): void => {
    const resumedTokens = policy.resumes ? request.produced : 0;
    request.job = { ...request.job, resumedTokens };
    const placed = (target !== undefined && place(request, target)) || place(request);
    if (!placed) parkedOf(request.job.service).push(request);
    drain();
  };
  const fail = (run: Run, cause: RetryCause): void => {
    if (run.ended) return;
    const { request } = run;
    endRun(run, RunEnd.Failed, cause);
    request.avoid.add(run.worker);
    if (request.runs.size > 0) return;
    const retry = scheduler.retry(request.job, cause, { now: events.now(), random });
    const mayHaveRun = run.delivered && !request.job.repeatable;
    if (mayHaveRun || retry.kind === "stop") {
      giveUp(request);
      return;
    }
    request.cause = cause;
    measurements.addRetried(cause);
    events.add(events.now() + retry.delay, () => {
      if (!request.ended && request.runs.size === 0) goOn(request);
    });
  };

  return {
    scheduler,
    runs,
    arrive: (traced, id) => {
      const arrival = arrivalOf(traced, id, deployment);
      const group = groupOf(measurements, { arrival, deployment });
      group.arrived++;
      const admission = scheduler.admit(arrival, events.now());
      if (admission.kind === "refused") {
        addTo(group.refused, admission.reason, 1);
        return;
      }
      const request = trackRequest(admission.job, { arrival: traced, group });
      inProgress++;
      events.add(arrival.deadlineAt, () => passDeadline(request));
      enqueue(request);
      drainService(arrival.service);
    },
    engineEvent: (run, event) => {
      if (run.ended) return;
      if (event.kind === "started") countStart(run, event.computed);
      if (event.kind === "token") deliverToken(run, event.index, event.at);
      if (event.kind === "finished") complete(run);
    },
    drain,
    move: (run, { target } = {}) => {
      if (run.ended) return;
      detach(run);
      resume(run.request, target === undefined ? { imported: 0 } : { imported: 0, target });
    },
    detach,
    resume,
    fail,
    inProgress: () => inProgress,
  };
}

/** Why an engine computes what was computed before for the same request. */
function causeOfStart({ starts, number, cause }: Run): RetryCause {
  if (starts > 1) return RetryCause.CacheLost;
  // The first run starts after another only where a hedge has overtaken it.
  return number === 1 ? RetryCause.Hedge : cause;
}

function answerOf({ n, m }: TraceArrival): number {
  return m === undefined ? n : Math.min(n, m);
}

function arrivalOf(traced: TraceArrival, id: string, deployment: Deployment): Arrival {
  const service = deployment.services[traced.s];
  return {
    id,
    account: traced.a,
    service: traced.s,
    model: service?.kind === "model" ? (service.models[0]?.name ?? "") : "",
    lane: traced.l ?? (service?.lane === "script" ? Lane.Script : Lane.Lookup),
    promptTokens: traced.p,
    ...(traced.m === undefined ? {} : { maxTokens: traced.m }),
    prefix: prefixOf(traced),
    prefixTokens: prefixOf(traced).length * BLOCK_TOKENS,
    repeatable: traced.r ?? service?.repeatable ?? true,
    detached: traced.d ?? false,
    arrivedAt: traced.t,
    deadlineAt: traced.t + (traced.dl ?? service?.target.deadline ?? 0),
  };
}

function prefixOf({ x, xt, p }: TraceArrival): string[] {
  if (x === undefined) return [];
  const blocks = Math.floor(Math.min(p, xt ?? p) / BLOCK_TOKENS);
  return Array.from({ length: blocks }, (_, index) => `${x}:${index}`);
}

function groupOf(
  measurements: Measurements,
  { arrival, deployment }: { arrival: Arrival; deployment: Deployment },
): GroupMeasurements {
  const target = deployment.services[arrival.service]?.target;
  if (target === undefined) throw new Error(`No service ${arrival.service}.`);
  return measurements.group(`${arrival.service}/${arrival.lane}`, target);
}
