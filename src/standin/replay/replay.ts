import type { ServiceSnapshot } from "../../decision/index.ts";
import { createSeededRandom, RetryCause } from "../../interface/index.ts";
import type { LoadReport } from "../../interface/index.ts";
import type { EngineModelEvent } from "../engine_model.ts";
import { createEntry } from "./entry.ts";
import type { Entry, EntryOptions } from "./entry.ts";
import { createEventQueue } from "./event_queue.ts";
import { createFleetControl } from "./fleet_control.ts";
import type { FleetControl } from "./fleet_control.ts";
import { arm } from "./machine.ts";
import type { Machine } from "./machine.ts";
import { createMeasurements } from "./measurements.ts";
import type { ReplayPolicy } from "./policy.ts";
import { takeSamples } from "./sample.ts";
import type { Sample } from "./sample.ts";
import { saveRequests } from "./reclaim.ts";
import { buildReport } from "./report.ts";
import type { Report } from "./report_shape.ts";
import type { Run } from "./tracked_request.ts";
import type { Trace } from "./trace.ts";

/** How a trace is played. */
export interface ReplayOptions {
  readonly policy: ReplayPolicy;
  readonly seed: number;
  /** Takes what stands at each moment of a plot. */
  readonly sample?: (sample: Sample) => void;
}

/** Entry instances that share the fleet. */
const ENTRY_INSTANCES = 3;
/** How often each worker is asked for its load, and how much later the answer is known. */
const REPORT_INTERVAL = 1_000;
const REPORT_LAG = 1_000;
/** How late cache events come, and how many are missing. */
const CACHE_EVENT_LAG = 2_000;
const CACHE_EVENT_GAPS = 0.1;
/** How long a change of a worker's state takes to reach every entry instance. */
const SPREAD_TIME = 500;
/** How long after the trace's end requests may take to end. */
const LONGEST_TAIL = 3_600_000;

/**
 * Plays a trace through the decisions on a virtual clock.
 *
 * @returns What was measured: the same for the same trace, policy and seed.
 */
export function replay(trace: Trace, { policy, seed, sample }: ReplayOptions): Report {
  const events = createEventQueue();
  const random = createSeededRandom(seed);
  const measurements = createMeasurements();
  const entries: Entry[] = [];
  const wake = (machine: Machine): void => {
    arm(machine, events, (happened) => handle(machine, happened));
  };
  const handle = (machine: Machine, happened: readonly EngineModelEvent[]): void => {
    for (const event of happened) {
      if ("blocks" in event) spreadCacheEvent(machine, event);
      else toEntry(event.id, event);
    }
  };
  const toEntry = (id: string, event: EngineModelEvent): void => {
    for (const entry of entries) {
      const run = entry.runs.get(id);
      if (run !== undefined) entry.engineEvent(run, event);
    }
  };
  const spreadCacheEvent = (
    { worker }: Machine,
    event: Extract<EngineModelEvent, { blocks: readonly string[] }>,
  ): void => {
    if (random.next() < CACHE_EVENT_GAPS) return;
    const { kind, blocks } = event;
    events.add(event.at + CACHE_EVENT_LAG, () => {
      const told = { worker: worker.id, kind, blocks };
      for (const { scheduler } of entries) scheduler.recordCacheEvent(told, events.now());
    });
  };
  const spreadWorkers = (machine: Machine): void => {
    events.add(events.now() + SPREAD_TIME, () => {
      tellWorkers(fleet, { entries, now: events.now() });
      for (const entry of entries) saveRequests(machine, entry, options);
      for (const entry of entries) entry.drain();
    });
  };
  const fleet = createFleetControl({
    trace,
    policy,
    events,
    demand: () => demandOf(entries, { trace, now: events.now() }),
    inProgress: () => inProgressOf(entries),
    onChange: spreadWorkers,
    onGone: (machine) => {
      failRuns(machine, entries);
      spreadWorkers(machine);
    },
  });
  const options: EntryOptions = {
    trace,
    policy,
    events,
    random,
    measurements,
    machines: fleet.machines,
    wake,
    instances: ENTRY_INSTANCES,
  };
  for (let index = 0; index < ENTRY_INSTANCES; index++) entries.push(createEntry(options));
  const unfinished = (): boolean =>
    events.now() < trace.header.duration || entries.some((entry) => entry.inProgress() > 0);

  fleet.start();
  tellWorkers(fleet, { entries, now: 0 });
  reportLoads(fleet, { entries, events });
  trace.arrivals.forEach((arrival, index) => {
    const taker = entries[Math.floor(random.next() * entries.length)];
    events.add(arrival.t, () => taker?.arrive(arrival, `r${index}`));
  });
  if (sample !== undefined) takeSamples({ fleet, measurements, events, sample });
  for (const fault of trace.faults) events.add(fault.t, () => fleet.fault(fault));
  const longest = trace.header.duration + LONGEST_TAIL;
  while (unfinished() && events.now() < longest && events.runNext());
  fleet.close();
  return buildReport({ trace, policy: policy.name, seed, measurements, fleet, now: events.now() });
}

function tellWorkers(
  fleet: FleetControl,
  { entries, now }: { entries: readonly Entry[]; now: number },
): void {
  const workers = fleet.workers();
  for (const { scheduler } of entries) scheduler.setWorkers(workers, now);
}

function failRuns({ worker }: Machine, entries: readonly Entry[]): void {
  for (const entry of entries) {
    const runs: Run[] = [...entry.runs.values()].filter((run) => run.worker === worker.id);
    const cause =
      worker.reclaimAt === undefined ? RetryCause.WorkerLost : RetryCause.WorkerReclaimed;
    for (const run of runs) entry.fail(run, cause);
  }
}

function reportLoads(
  fleet: FleetControl,
  { entries, events }: { entries: readonly Entry[]; events: EntryOptions["events"] },
): void {
  const takenAt = events.now();
  const reports: LoadReport[] = fleet.workers().map((worker) => ({
    worker: worker.id,
    takenAt,
    ...(fleet.machines.get(worker.id)?.engine.load() ?? NO_LOAD),
    loaded: [],
  }));
  events.add(takenAt + REPORT_LAG, () => {
    for (const entry of entries) {
      for (const report of reports) entry.scheduler.recordLoadReport(report, events.now());
      entry.drain();
    }
  });
  events.add(takenAt + REPORT_INTERVAL, () => reportLoads(fleet, { entries, events }));
}

const NO_LOAD = { running: 0, waiting: 0, cacheTokens: 0, cacheCapacity: 0 };

function demandOf(
  entries: readonly Entry[],
  { trace, now }: { trace: Trace; now: number },
): ServiceSnapshot[] {
  const snapshots = entries.flatMap((entry) => entry.scheduler.snapshot(now).services);
  return Object.keys(trace.header.deployment.services).map((service) =>
    snapshots.filter((snapshot) => snapshot.service === service).reduce(sumOf, none(service)),
  );
}

function none(service: string): ServiceSnapshot {
  const waits = { waitingJobs: 0, waitingWork: 0, runningJobs: 0 };
  return { service, ...waits, arrivalRate: 0, previousArrivalRate: 0, completionRate: 0 };
}

function sumOf(a: ServiceSnapshot, b: ServiceSnapshot): ServiceSnapshot {
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

function inProgressOf(entries: readonly Entry[]): Record<string, number> {
  const work: Record<string, number> = {};
  for (const entry of entries) {
    for (const { worker, request } of entry.runs.values()) {
      const left = Math.max(0, request.job.estimate.work - request.produced);
      work[worker] = (work[worker] ?? 0) + left;
    }
  }
  return work;
}
