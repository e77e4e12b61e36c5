import type { PlannerState, Pool, ServiceDemand, ServiceSnapshot } from "../../decision/index.ts";
import { Purchase, WorkerState } from "../../interface/index.ts";
import type { Worker } from "../../interface/index.ts";
import type { Service } from "../../version/index.ts";
import type { EventQueue } from "./event_queue.ts";
import { costOf, createMachine, setState } from "./machine.ts";
import type { Machine } from "./machine.ts";
import type { ReplayPolicy } from "./policy.ts";
import type { Trace, TraceFault } from "./trace.ts";

/** What the fleet of a replay is told by those who use it. */
export interface FleetControlOptions {
  readonly trace: Trace;
  readonly policy: ReplayPolicy;
  readonly events: EventQueue;
  /** Demand of each service, summed over the entry instances. */
  readonly demand: () => readonly ServiceSnapshot[];
  /** Tokens of work in progress by worker. */
  readonly inProgress: () => Readonly<Record<string, number>>;
  /** A worker's state has changed. */
  readonly onChange: (machine: Machine) => void;
  /** A worker has ended with what was on it. */
  readonly onGone: (machine: Machine) => void;
}

/** The cloud's instances in a replay, and the control loop that has them launched and stopped. */
export interface FleetControl {
  readonly machines: ReadonlyMap<string, Machine>;
  /** Workers that the platform knows and that have not ended. */
  workers(): Worker[];
  /** Brings up what the policy plans for the trace's first minutes, and begins to plan. */
  start(): void;
  /** Takes in a fault of the trace. */
  fault(fault: TraceFault): void;
  /** Stops planning. */
  close(): void;
  /** Euros by service until now. */
  costs(): Map<string, number>;
  readonly counts: FleetCounts;
}

/** What happened to the fleet. */
export interface FleetCounts {
  launched: number;
  refused: number;
  reclaimed: number;
  retired: number;
  /** Most workers at once. */
  peak: number;
}

const PLAN_INTERVAL = 5_000;
/** How long the cloud takes to refuse a launch. */
const REFUSAL_TIME = 2_000;
/** How often a worker that takes nothing new is looked at, to stop it once it is empty. */
const EMPTY_CHECK = 1_000;
/** Demand of the trace's first minutes, for which the fleet stands ready at its start. */
const WARM_UP = 120_000;
/** Plans made at the start, so that a policy that launches in steps ends where it wants to be. */
const WARM_PLANS = 5;

interface Refusals {
  at?: number;
  inRow: number;
}

/** Makes a fleet without workers. */
export function createFleetControl(options: FleetControlOptions): FleetControl {
  const { trace, policy, events, onChange } = options;
  const { header } = trace;
  const { deployment } = header;
  const machines = new Map<string, Machine>();
  const refusals = new Map<string, Refusals>();
  const counts: FleetCounts = { launched: 0, refused: 0, reclaimed: 0, retired: 0, peak: 0 };
  let preset = header.preset;
  let presetSince = 0;
  let memory: PlannerState | undefined;
  let weightStoreFreeAt = 0;
  let closed = false;

  const standing = (): Machine[] =>
    [...machines.values()].filter(({ worker }) => worker.state !== WorkerState.Gone);
  const loadTime = (service: string): number =>
    (weightsOf(deployment.services[service]) * 1_000) / header.weightStore;
  const poolsNow = (): Pool[] =>
    deployment.offers.flatMap((offer) =>
      [Purchase.Reclaimable, Purchase.OnDemand].map((purchase) => {
        const { zone, machineClass } = offer;
        const refused = refusals.get(poolKey({ zone, machineClass, purchase }));
        const speeds = deployment.machineClasses[machineClass];
        return {
          zone,
          machineClass,
          purchase,
          price: purchase === Purchase.Reclaimable ? offer.reclaimable : offer.onDemand,
          tokensPerSecond: speeds?.tokensPerSecond ?? 0,
          startUp: (speeds?.startUp ?? 0) + loadTime(Object.keys(deployment.services)[0] ?? ""),
          refusals: refused?.inRow ?? 0,
          ...(refused?.at === undefined ? {} : { refusedAt: refused.at }),
        };
      }),
    );
  const demandOf = (snapshot: ServiceSnapshot): ServiceDemand => {
    const { service } = snapshot;
    const bounds = deployment.presets[preset]?.services[service];
    const workers = standing()
      .map((machine) => machine.worker)
      .filter((worker) => worker.service === service && worker.state !== WorkerState.Starting);
    return {
      service,
      arrivalRate: snapshot.arrivalRate,
      previousArrivalRate: snapshot.previousArrivalRate,
      waitingWork: snapshot.waitingWork,
      workInProgress: options.inProgress(),
      workers,
      minWorkers: bounds?.least ?? 0,
      maxWorkers: bounds?.most ?? 0,
      maxReclaimableShare: bounds?.reclaimable ?? 1,
      firstTokenTarget: deployment.services[service]?.target.firstToken ?? 0,
      weightBytes: weightsOf(deployment.services[service]),
      presetSince,
    };
  };
  const plan = (demand: readonly ServiceSnapshot[]): ReturnType<typeof policy.planFleet> => {
    const launching = standing()
      .filter(({ worker }) => worker.state === WorkerState.Starting)
      .map(({ worker, pool }) => ({ service: worker.service, pool }));
    const planned = policy.planFleet({
      now: events.now(),
      services: demand.map(demandOf),
      pools: poolsNow(),
      zones: deployment.zones,
      launching,
      plannerState: memory,
      weightStoreRate: header.weightStore,
    });
    memory = planned.plannerState;
    return planned;
  };
  const add = (service: string, pool: Pool): Machine => {
    const machineClass = deployment.machineClasses[pool.machineClass];
    if (machineClass === undefined) throw new Error(`No machine class ${pool.machineClass}.`);
    const id = `${service}-${machines.size}`;
    const machine = createMachine({ id, service, pool, machineClass, now: events.now() });
    machines.set(id, machine);
    counts.launched++;
    counts.peak = Math.max(counts.peak, standing().length);
    return machine;
  };
  const goLive = (machine: Machine): void => {
    if (machine.worker.state !== WorkerState.Starting) return;
    setState(machine, WorkerState.Live);
    onChange(machine);
  };
  const launch = (service: string, pool: Pool): void => {
    const key = poolKey(pool);
    if (isRefused(trace.faults, pool, events.now())) {
      counts.refused++;
      const inRow = (refusals.get(key)?.inRow ?? 0) + 1;
      events.add(events.now() + REFUSAL_TIME, () => refusals.set(key, { at: events.now(), inRow }));
      return;
    }
    refusals.set(key, { inRow: 0 });
    const machine = add(service, pool);
    const startUp = deployment.machineClasses[pool.machineClass]?.startUp ?? 0;
    // All loads share the weight store's rate, so one waits for those before it.
    const loadsAt = Math.max(events.now() + startUp, weightStoreFreeAt);
    weightStoreFreeAt = loadsAt + loadTime(service);
    events.add(weightStoreFreeAt, () => goLive(machine));
  };
  const stop = (machine: Machine): void => {
    if (machine.worker.state === WorkerState.Gone) return;
    setState(machine, WorkerState.Gone);
    machine.stoppedAt = events.now();
    options.onGone(machine);
  };
  const stopOnceEmpty = (machine: Machine): void => {
    if (machine.worker.state === WorkerState.Gone) return;
    const { running, waiting } = machine.engine.load();
    if (running + waiting === 0) stop(machine);
    else events.add(events.now() + EMPTY_CHECK, () => stopOnceEmpty(machine));
  };
  const retire = (id: string): void => {
    const machine = machines.get(id);
    if (machine?.worker.state !== WorkerState.Live) return;
    counts.retired++;
    setState(machine, WorkerState.Leaving);
    onChange(machine);
    // What was sent before the others heard of it is still on its way.
    events.add(events.now() + EMPTY_CHECK, () => stopOnceEmpty(machine));
  };
  const tick = (): void => {
    if (closed) return;
    const { launches, retire: retired } = plan(options.demand());
    for (const { service, pool } of launches) launch(service, pool);
    for (const id of retired) retire(id);
    events.add(events.now() + PLAN_INTERVAL, tick);
  };
  const reclaim = (machine: Machine, within: number): void => {
    if (machine.worker.state === WorkerState.Gone) return;
    counts.reclaimed++;
    setState(machine, WorkerState.Leaving, events.now() + within);
    onChange(machine);
    events.add(events.now() + within, () => stop(machine));
  };

  return {
    machines,
    counts,
    workers: () =>
      standing()
        .map(({ worker }) => worker)
        .filter(({ state }) => state !== WorkerState.Starting),
    start: () => {
      const demand = warmDemand(trace);
      for (let round = 0; round < WARM_PLANS; round++) {
        for (const { service, pool } of plan(demand).launches) goLive(add(service, pool));
      }
      events.add(PLAN_INTERVAL, tick);
    },
    fault: (fault) => {
      switch (fault.kind) {
        case "reclaim":
          for (const machine of reclaimedBy(fault, standing())) reclaim(machine, fault.within);
          break;
        case "slow": {
          const [machine] = nthLive(standing(), fault.service, fault.index);
          machine?.engine.slow(fault.factor);
          events.add(fault.until, () => machine?.engine.slow(1));
          break;
        }
        case "preset":
          preset = fault.preset;
          presetSince = events.now();
          break;
        case "refuse":
          // Looked up at each launch.
          break;
      }
    },
    close: () => {
      closed = true;
    },
    costs: () => {
      const costs = new Map<string, number>();
      for (const machine of machines.values()) {
        const { service } = machine.worker;
        costs.set(service, (costs.get(service) ?? 0) + costOf(machine, events.now()));
      }
      return costs;
    },
  };
}

function poolKey({
  zone,
  machineClass,
  purchase,
}: Pick<Pool, "zone" | "machineClass" | "purchase">): string {
  return `${zone} ${machineClass} ${purchase}`;
}

/** Bytes that a worker of the service loads before it takes work. */
function weightsOf(service: Service | undefined): number {
  return service?.kind === "model" ? (service.models[0]?.weights ?? 0) : 0;
}

function isRefused(faults: readonly TraceFault[], pool: Pool, now: number): boolean {
  return faults.some(
    (fault) =>
      fault.kind === "refuse" &&
      fault.t <= now &&
      now < fault.until &&
      (fault.zone ?? pool.zone) === pool.zone &&
      (fault.machineClass ?? pool.machineClass) === pool.machineClass &&
      (fault.purchase ?? pool.purchase) === pool.purchase,
  );
}

function reclaimedBy(
  fault: Extract<TraceFault, { kind: "reclaim" }>,
  machines: readonly Machine[],
): Machine[] {
  if (fault.service !== undefined) return nthLive(machines, fault.service, fault.index ?? 0);
  return machines.filter(
    ({ worker }) =>
      worker.purchase === Purchase.Reclaimable &&
      (fault.zone ?? worker.zone) === worker.zone &&
      worker.reclaimAt === undefined,
  );
}

function nthLive(machines: readonly Machine[], service: string, index: number): Machine[] {
  const live = machines.filter(
    ({ worker }) => worker.service === service && worker.state === WorkerState.Live,
  );
  const machine = live[index % Math.max(1, live.length)];
  return machine === undefined ? [] : [machine];
}

/** What arrives in the first minutes: a recording begins with a fleet that was there for it. */
function warmDemand({ header, arrivals }: Trace): ServiceSnapshot[] {
  return Object.keys(header.deployment.services).map((service) => {
    const early = arrivals.filter((arrival) => arrival.s === service && arrival.t < WARM_UP);
    // Prompt tokens count as far as they take a machine's time from answers, as the decisions count them.
    const [machine] = Object.values(header.deployment.machineClasses);
    const perPrompt =
      machine === undefined ? 1 : machine.tokensPerSecond / machine.prefillPerSecond;
    const work = early.reduce((sum, arrival) => sum + arrival.p * perPrompt + arrival.n, 0);
    const arriving = (work * 1_000) / Math.min(WARM_UP, header.duration);
    const none = { waitingJobs: 0, waitingWork: 0, runningJobs: 0, completionRate: 0 };
    return { service, ...none, arrivalRate: arriving, previousArrivalRate: arriving };
  });
}
