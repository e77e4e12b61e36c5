/**
 * The fleet of a replay: the workers in the simulated cloud, and the control loop that launches and
 * retires them as the policy plans.
 *
 * The plan runs every five seconds on the demand of the entry instances. A launch takes the machine
 * class's start-up time and the time to load the weights, from a weight store whose rate all
 * launches share. Faults of the trace reclaim workers, refuse launches, slow engines down and
 * switch the preset.
 *
 * @module
 */
import type { PlannerState, Pool, ServiceDemand, ServiceSnapshot } from "../../decision/index.ts";
import { Purchase, WorkerState } from "../../interface/index.ts";
import type { Worker } from "../../interface/index.ts";
import type { Service } from "../../version/index.ts";
import type { EventQueue } from "./event_queue.ts";
import { machineCost, createMachine, setWorkerState } from "./machine.ts";
import type { Machine } from "./machine.ts";
import type { ReplayPolicy } from "./policy.ts";
import type { Trace, TraceFault } from "./trace.ts";

/** Options of the fleet of a replay. */
export interface FleetControlOptions {
  readonly trace: Trace;
  readonly policy: ReplayPolicy;
  readonly events: EventQueue;
  /** Returns the demand of each service, summed over the entry instances. */
  readonly getDemand: () => readonly ServiceSnapshot[];
  /** Returns the tokens of work in progress, by worker. */
  readonly getWorkInProgress: () => Readonly<Record<string, number>>;
  /** Called when a worker's state has changed. */
  readonly onWorkerChanged: (machine: Machine) => void;
  /** Called when a worker has stopped, with the runs that were in progress on it. */
  readonly onWorkerStopped: (machine: Machine) => void;
}

/** The workers in a replay, and the control loop that launches and stops them. */
export interface FleetControl {
  readonly machines: ReadonlyMap<string, Machine>;
  /** Returns the workers that have started and not stopped. */
  workers(): Worker[];
  /**
   * Launches the workers that the policy plans for the first minutes of the trace, and starts the
   * control loop.
   */
  start(): void;
  /** Applies a fault of the trace. */
  applyFault(fault: TraceFault): void;
  /** Stops the control loop. */
  close(): void;
  /** Returns the cost so far in euros, by service. */
  costByService(): Map<string, number>;
  readonly counts: FleetCounts;
}

/** Counts of events in the fleet, and its maximum size. */
export interface FleetCounts {
  /** Launched workers. */
  launched: number;
  /** Launches that the cloud refused. */
  refused: number;
  /** Workers that the cloud reclaimed. */
  reclaimed: number;
  /** Workers that the plan stopped. */
  retired: number;
  /** Maximum number of workers at once. */
  peak: number;
}

/** Milliseconds between two plans. */
const PLAN_INTERVAL = 5_000;
/** Milliseconds that the cloud takes to refuse a launch. */
const REFUSAL_DELAY = 2_000;
/**
 * Interval in milliseconds at which a worker that accepts no new requests is checked, to stop it
 * once it is idle.
 */
const IDLE_CHECK_INTERVAL = 1_000;
/** Milliseconds at the start of the trace whose demand determines the initial fleet. */
const WARM_UP_TIME = 120_000;
/** Number of plans at the start, so that a policy that launches in steps reaches its target. */
const WARM_UP_PLANS = 5;

/** Refused launches of a pool. */
interface RefusalHistory {
  lastAt?: number;
  consecutive: number;
}

/** Creates a fleet without workers. */
export function createFleetControl(options: FleetControlOptions): FleetControl {
  const { trace, policy, events, onWorkerChanged } = options;
  const { header } = trace;
  const { deployment } = header;
  const machines = new Map<string, Machine>();
  const refusals = new Map<string, RefusalHistory>();
  const counts: FleetCounts = { launched: 0, refused: 0, reclaimed: 0, retired: 0, peak: 0 };
  let preset = header.preset;
  let presetSince = 0;
  let plannerState: PlannerState | undefined;
  let weightStoreIdleAt = 0;
  let isClosed = false;

  const activeMachines = (): Machine[] =>
    [...machines.values()].filter(({ worker }) => worker.state !== WorkerState.Gone);
  const weightLoadTime = (service: string): number =>
    (weightBytesOf(deployment.services[service]) * 1_000) / header.weightStore;
  const currentPools = (): Pool[] =>
    deployment.offers.flatMap((offer) =>
      [Purchase.Reclaimable, Purchase.OnDemand].map((purchase) => {
        const { zone, machineClass } = offer;
        const refusal = refusals.get(poolKey({ zone, machineClass, purchase }));
        const classCapacity = deployment.machineClasses[machineClass];
        return {
          zone,
          machineClass,
          purchase,
          price: purchase === Purchase.Reclaimable ? offer.reclaimable : offer.onDemand,
          tokensPerSecond: classCapacity?.tokensPerSecond ?? 0,
          startUp:
            (classCapacity?.startUp ?? 0) +
            weightLoadTime(Object.keys(deployment.services)[0] ?? ""),
          refusals: refusal?.consecutive ?? 0,
          ...(refusal?.lastAt === undefined ? {} : { refusedAt: refusal.lastAt }),
        };
      }),
    );
  const toServiceDemand = (snapshot: ServiceSnapshot): ServiceDemand => {
    const { service } = snapshot;
    const bounds = deployment.presets[preset]?.services[service];
    const workers = activeMachines()
      .map((machine) => machine.worker)
      .filter((worker) => worker.service === service && worker.state !== WorkerState.Starting);
    return {
      service,
      arrivalRate: snapshot.arrivalRate,
      previousArrivalRate: snapshot.previousArrivalRate,
      waitingWork: snapshot.waitingWork,
      workInProgress: options.getWorkInProgress(),
      workers,
      minWorkers: bounds?.least ?? 0,
      maxWorkers: bounds?.most ?? 0,
      maxReclaimableShare: bounds?.reclaimable ?? 1,
      firstTokenTarget: deployment.services[service]?.target.firstToken ?? 0,
      weightBytes: weightBytesOf(deployment.services[service]),
      presetSince,
    };
  };
  const planFleet = (demand: readonly ServiceSnapshot[]): ReturnType<typeof policy.planFleet> => {
    const launching = activeMachines()
      .filter(({ worker }) => worker.state === WorkerState.Starting)
      .map(({ worker, pool }) => ({ service: worker.service, pool }));
    const result = policy.planFleet({
      now: events.now(),
      services: demand.map(toServiceDemand),
      pools: currentPools(),
      zones: deployment.zones,
      launching,
      plannerState,
      weightStoreRate: header.weightStore,
    });
    plannerState = result.plannerState;
    return result;
  };
  const addMachine = (service: string, pool: Pool): Machine => {
    const machineClass = deployment.machineClasses[pool.machineClass];
    if (machineClass === undefined)
      throw new Error(`Unknown machine class "${pool.machineClass}".`);
    const id = `${service}-${machines.size}`;
    const machine = createMachine({ id, service, pool, machineClass, now: events.now() });
    machines.set(id, machine);
    counts.launched++;
    counts.peak = Math.max(counts.peak, activeMachines().length);
    return machine;
  };
  const markLive = (machine: Machine): void => {
    if (machine.worker.state !== WorkerState.Starting) return;
    setWorkerState(machine, WorkerState.Live);
    onWorkerChanged(machine);
  };
  const launch = (service: string, pool: Pool): void => {
    const key = poolKey(pool);
    if (isRefused(trace.faults, pool, events.now())) {
      counts.refused++;
      const consecutive = (refusals.get(key)?.consecutive ?? 0) + 1;
      events.add(events.now() + REFUSAL_DELAY, () =>
        refusals.set(key, { lastAt: events.now(), consecutive }),
      );
      return;
    }
    refusals.set(key, { consecutive: 0 });
    const machine = addMachine(service, pool);
    const startUp = deployment.machineClasses[pool.machineClass]?.startUp ?? 0;
    // All loads share the rate of the weight store, so each waits for the ones before it.
    const loadStartsAt = Math.max(events.now() + startUp, weightStoreIdleAt);
    weightStoreIdleAt = loadStartsAt + weightLoadTime(service);
    events.add(weightStoreIdleAt, () => markLive(machine));
  };
  const stopMachine = (machine: Machine): void => {
    if (machine.worker.state === WorkerState.Gone) return;
    setWorkerState(machine, WorkerState.Gone);
    machine.stoppedAt = events.now();
    options.onWorkerStopped(machine);
  };
  const stopWhenIdle = (machine: Machine): void => {
    if (machine.worker.state === WorkerState.Gone) return;
    const { running, waiting } = machine.engine.load();
    if (running + waiting === 0) stopMachine(machine);
    else events.add(events.now() + IDLE_CHECK_INTERVAL, () => stopWhenIdle(machine));
  };
  const retireWorker = (id: string): void => {
    const machine = machines.get(id);
    if (machine?.worker.state !== WorkerState.Live) return;
    counts.retired++;
    setWorkerState(machine, WorkerState.Leaving);
    onWorkerChanged(machine);
    // Requests that were dispatched before the entry instances received the change are still in
    // transit.
    events.add(events.now() + IDLE_CHECK_INTERVAL, () => stopWhenIdle(machine));
  };
  const runPlanRound = (): void => {
    if (isClosed) return;
    const { launches, retire: retiredIds } = planFleet(options.getDemand());
    for (const { service, pool } of launches) launch(service, pool);
    for (const id of retiredIds) retireWorker(id);
    events.add(events.now() + PLAN_INTERVAL, runPlanRound);
  };
  const reclaimMachine = (machine: Machine, within: number): void => {
    if (machine.worker.state === WorkerState.Gone) return;
    counts.reclaimed++;
    setWorkerState(machine, WorkerState.Leaving, events.now() + within);
    onWorkerChanged(machine);
    events.add(events.now() + within, () => stopMachine(machine));
  };

  return {
    machines,
    counts,
    workers: () =>
      activeMachines()
        .map(({ worker }) => worker)
        .filter(({ state }) => state !== WorkerState.Starting),
    start: () => {
      const demand = warmUpDemand(trace);
      for (let planIndex = 0; planIndex < WARM_UP_PLANS; planIndex++) {
        for (const { service, pool } of planFleet(demand).launches)
          markLive(addMachine(service, pool));
      }
      events.add(PLAN_INTERVAL, runPlanRound);
    },
    applyFault: (fault) => {
      switch (fault.kind) {
        case "reclaim":
          for (const machine of machinesToReclaim(fault, activeMachines()))
            reclaimMachine(machine, fault.within);
          break;
        case "slow": {
          const [machine] = nthLiveMachine(activeMachines(), fault.service, fault.index);
          machine?.engine.setSlowdown(fault.factor);
          events.add(fault.until, () => machine?.engine.setSlowdown(1));
          break;
        }
        case "preset":
          preset = fault.preset;
          presetSince = events.now();
          break;
        case "refuse":
          // Evaluated at each launch.
          break;
      }
    },
    close: () => {
      isClosed = true;
    },
    costByService: () => {
      const costs = new Map<string, number>();
      for (const machine of machines.values()) {
        const { service } = machine.worker;
        costs.set(service, (costs.get(service) ?? 0) + machineCost(machine, events.now()));
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

/** Returns the bytes that a worker of the service loads before it accepts requests. */
function weightBytesOf(service: Service | undefined): number {
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

function machinesToReclaim(
  fault: Extract<TraceFault, { kind: "reclaim" }>,
  machines: readonly Machine[],
): Machine[] {
  if (fault.service !== undefined) return nthLiveMachine(machines, fault.service, fault.index ?? 0);
  return machines.filter(
    ({ worker }) =>
      worker.purchase === Purchase.Reclaimable &&
      (fault.zone ?? worker.zone) === worker.zone &&
      worker.reclaimAt === undefined,
  );
}

function nthLiveMachine(machines: readonly Machine[], service: string, index: number): Machine[] {
  const live = machines.filter(
    ({ worker }) => worker.service === service && worker.state === WorkerState.Live,
  );
  const machine = live[index % Math.max(1, live.length)];
  return machine === undefined ? [] : [machine];
}

/**
 * Returns the demand of the first minutes of a trace. A recording starts with a fleet that was
 * sized for it.
 */
function warmUpDemand({ header, arrivals }: Trace): ServiceSnapshot[] {
  return Object.keys(header.deployment.services).map((service) => {
    const earlyArrivals = arrivals.filter(
      (arrival) => arrival.s === service && arrival.t < WARM_UP_TIME,
    );
    // Prompt tokens are weighted by the machine time that they take from answer tokens, as in the
    // decisions.
    const [machine] = Object.values(header.deployment.machineClasses);
    const answerTokensPerPromptToken =
      machine === undefined ? 1 : machine.tokensPerSecond / machine.prefillPerSecond;
    const work = earlyArrivals.reduce(
      (sum, arrival) => sum + arrival.p * answerTokensPerPromptToken + arrival.n,
      0,
    );
    const arrivalRate = (work * 1_000) / Math.min(WARM_UP_TIME, header.duration);
    const noJobs = { waitingJobs: 0, waitingWork: 0, runningJobs: 0, completionRate: 0 };
    return { service, ...noJobs, arrivalRate, previousArrivalRate: arrivalRate };
  });
}
