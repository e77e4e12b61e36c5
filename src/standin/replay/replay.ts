/**
 * Replays a recorded or generated trace through the software's decisions on a virtual clock.
 *
 * Admission, queues, placement, triage and fleet planning are those of the software or of a
 * baseline policy. The workers run the engine model. As in a real deployment, entry instances
 * receive load reports, cache events and changes of workers late, and some cache events are lost.
 * All random numbers come from one seed, so that a replay can be repeated exactly and two policies
 * can be compared on the same trace.
 *
 * @module
 */
import type { ServiceSnapshot } from "../../decision/index.ts";
import { createSeededRandom, RetryCause } from "../../interface/index.ts";
import type { LoadReport } from "../../interface/index.ts";
import type { EngineModelEvent } from "../engine_model.ts";
import { createEntryInstance } from "./entry_instance.ts";
import type { EntryInstance, EntryInstanceOptions } from "./entry_instance.ts";
import { createEventQueue } from "./event_queue.ts";
import { createFleetControl } from "./fleet_control.ts";
import type { FleetControl } from "./fleet_control.ts";
import { scheduleNextStep } from "./machine.ts";
import type { Machine } from "./machine.ts";
import { createMeasurements } from "./measurements.ts";
import type { ReplayPolicy } from "./policy.ts";
import { takeSamples } from "./sample.ts";
import type { Sample } from "./sample.ts";
import { evacuateWorker } from "./worker_evacuation.ts";
import { buildReport } from "./report.ts";
import type { Report } from "./report_types.ts";
import type { Run } from "./tracked_request.ts";
import type { Trace } from "./trace.ts";

/** Options of a replay. */
export interface ReplayOptions {
  readonly policy: ReplayPolicy;
  readonly seed: number;
  /** Called with a sample of the state at regular intervals, for a plot. */
  readonly onSample?: (sample: Sample) => void;
}

/** Number of entry instances that share the fleet. */
const ENTRY_INSTANCES = 3;
/** Milliseconds between two load reports of a worker. */
const REPORT_INTERVAL = 1_000;
/** Milliseconds until a load report is known to the entry instances. */
const REPORT_DELAY = 1_000;
/** Milliseconds until a cache event is known to the entry instances. */
const CACHE_EVENT_DELAY = 2_000;
/** Share of cache events that are lost. */
const CACHE_EVENT_LOSS_RATE = 0.1;
/** Milliseconds until a change of a worker's state is known to every entry instance. */
const STATE_PROPAGATION_DELAY = 500;
/** Maximum time in milliseconds that requests may take after the end of the trace. */
const MAX_DRAIN_TIME = 3_600_000;

/**
 * Replays a trace.
 *
 * @returns The measurements. They are the same for the same trace, policy and seed.
 */
export function replay(trace: Trace, { policy, seed, onSample: sample }: ReplayOptions): Report {
  const events = createEventQueue();
  const random = createSeededRandom(seed);
  const measurements = createMeasurements();
  const entries: EntryInstance[] = [];
  const onWorkSubmitted = (machine: Machine): void => {
    scheduleNextStep(machine, events, (engineEvents) => handleEngineEvents(machine, engineEvents));
  };
  const handleEngineEvents = (
    machine: Machine,
    engineEvents: readonly EngineModelEvent[],
  ): void => {
    for (const event of engineEvents) {
      if ("blocks" in event) publishCacheEvent(machine, event);
      else forwardToEntry(event.id, event);
    }
  };
  const forwardToEntry = (id: string, event: EngineModelEvent): void => {
    for (const entry of entries) {
      const run = entry.runs.get(id);
      if (run !== undefined) entry.handleEngineEvent(run, event);
    }
  };
  const publishCacheEvent = (
    { worker }: Machine,
    event: Extract<EngineModelEvent, { blocks: readonly string[] }>,
  ): void => {
    if (random.next() < CACHE_EVENT_LOSS_RATE) return;
    const { kind, blocks } = event;
    events.add(event.at + CACHE_EVENT_DELAY, () => {
      const cacheEvent = { worker: worker.id, kind, blocks };
      for (const { scheduler } of entries) scheduler.recordCacheEvent(cacheEvent, events.now());
    });
  };
  const publishWorkers = (machine: Machine): void => {
    events.add(events.now() + STATE_PROPAGATION_DELAY, () => {
      updateWorkers(fleet, { entries, now: events.now() });
      for (const entry of entries) evacuateWorker(machine, entry, options);
      for (const entry of entries) entry.dispatchWaiting();
    });
  };
  const fleet = createFleetControl({
    trace,
    policy,
    events,
    getDemand: () => totalDemand(entries, { trace, now: events.now() }),
    getWorkInProgress: () => workInProgressByWorker(entries),
    onWorkerChanged: publishWorkers,
    onWorkerStopped: (machine) => {
      failRunsOn(machine, entries);
      publishWorkers(machine);
    },
  });
  const options: EntryInstanceOptions = {
    trace,
    policy,
    events,
    random,
    measurements,
    machines: fleet.machines,
    onWorkSubmitted,
    instanceCount: ENTRY_INSTANCES,
  };
  for (let index = 0; index < ENTRY_INSTANCES; index++) entries.push(createEntryInstance(options));
  const isUnfinished = (): boolean =>
    events.now() < trace.header.duration || entries.some((entry) => entry.requestsInProgress() > 0);

  fleet.start();
  updateWorkers(fleet, { entries, now: 0 });
  scheduleLoadReports(fleet, { entries, events });
  trace.arrivals.forEach((arrival, index) => {
    const entry = entries[Math.floor(random.next() * entries.length)];
    events.add(arrival.t, () => entry?.handleArrival(arrival, `r${index}`));
  });
  if (sample !== undefined) takeSamples({ fleet, measurements, events, sample });
  for (const fault of trace.faults) events.add(fault.t, () => fleet.applyFault(fault));
  const latestEnd = trace.header.duration + MAX_DRAIN_TIME;
  while (isUnfinished() && events.now() < latestEnd && events.runNext());
  fleet.close();
  return buildReport({ trace, policy: policy.name, seed, measurements, fleet, now: events.now() });
}

function updateWorkers(
  fleet: FleetControl,
  { entries, now }: { entries: readonly EntryInstance[]; now: number },
): void {
  const workers = fleet.workers();
  for (const { scheduler } of entries) scheduler.setWorkers(workers, now);
}

function failRunsOn({ worker }: Machine, entries: readonly EntryInstance[]): void {
  for (const entry of entries) {
    const runs: Run[] = [...entry.runs.values()].filter((run) => run.worker === worker.id);
    const cause =
      worker.reclaimAt === undefined ? RetryCause.WorkerLost : RetryCause.WorkerReclaimed;
    for (const run of runs) entry.failRun(run, cause);
  }
}

function scheduleLoadReports(
  fleet: FleetControl,
  {
    entries,
    events,
  }: { entries: readonly EntryInstance[]; events: EntryInstanceOptions["events"] },
): void {
  const takenAt = events.now();
  const reports: LoadReport[] = fleet.workers().map((worker) => ({
    worker: worker.id,
    takenAt,
    ...(fleet.machines.get(worker.id)?.engine.load() ?? NO_LOAD),
    loaded: [],
  }));
  events.add(takenAt + REPORT_DELAY, () => {
    for (const entry of entries) {
      for (const report of reports) entry.scheduler.recordLoadReport(report, events.now());
      entry.dispatchWaiting();
    }
  });
  events.add(takenAt + REPORT_INTERVAL, () => scheduleLoadReports(fleet, { entries, events }));
}

const NO_LOAD = { running: 0, waiting: 0, cacheTokens: 0, cacheCapacity: 0 };

function totalDemand(
  entries: readonly EntryInstance[],
  { trace, now }: { trace: Trace; now: number },
): ServiceSnapshot[] {
  const snapshots = entries.flatMap((entry) => entry.scheduler.snapshot(now).services);
  return Object.keys(trace.header.deployment.services).map((service) =>
    snapshots
      .filter((snapshot) => snapshot.service === service)
      .reduce(addSnapshots, emptySnapshot(service)),
  );
}

function emptySnapshot(service: string): ServiceSnapshot {
  const noJobs = { waitingJobs: 0, waitingWork: 0, runningJobs: 0 };
  return { service, ...noJobs, arrivalRate: 0, previousArrivalRate: 0, completionRate: 0 };
}

function addSnapshots(a: ServiceSnapshot, b: ServiceSnapshot): ServiceSnapshot {
  return {
    service: a.service,
    waitingJobs: a.waitingJobs + b.waitingJobs,
    waitingWork: a.waitingWork + b.waitingWork,
    runningJobs: a.runningJobs + b.runningJobs,
    arrivalRate: a.arrivalRate + b.arrivalRate,
    previousArrivalRate: a.previousArrivalRate + b.previousArrivalRate,
    completionRate: a.completionRate + b.completionRate,
  };
}

function workInProgressByWorker(entries: readonly EntryInstance[]): Record<string, number> {
  const work: Record<string, number> = {};
  for (const entry of entries) {
    for (const { worker, request } of entry.runs.values()) {
      const remaining = Math.max(0, request.job.estimate.work - request.deliveredTokens);
      work[worker] = (work[worker] ?? 0) + remaining;
    }
  }
  return work;
}
