import { planRollout, RolloutPhase, sumCounts } from "../../src/decision/index.ts";
import type { RolloutJudge, RunCounts, RunTally } from "../../src/decision/index.ts";
import { createSeededRandom, Purchase, RolloutState } from "../../src/interface/index.ts";
import type {
  PutOutcome,
  Random,
  RolloutEntry,
  RolloutStatus,
  RoutedWorker,
} from "../../src/interface/index.ts";
import { MAX_MESH_SIZE } from "../../src/process/fleet_topology.ts";
import { createRolloutTask } from "../../src/process/rollout_task.ts";
import type { RolloutTask } from "../../src/process/rollout_task.ts";
import { createRolloutView } from "../../src/process/rollout_view.ts";
import type { RolloutView } from "../../src/process/rollout_view.ts";
import { createMemoryStore, createVirtualClock } from "../../src/standin/memory/index.ts";
import type { Ramp } from "./other_ways.ts";
import { Onset, Sort, Trouble } from "./scenario.ts";
import type { Scenario } from "./scenario.ts";

/** What became of an order. */
export interface Outcome {
  readonly seed: number;
  readonly state: RolloutState | undefined;
  /** Milliseconds since the order. */
  readonly endedAt: number | undefined;
  /** Sent to the new version until the deadline, and to both. */
  readonly tried: number;
  readonly all: number;
  /** Bad answers of the new version until the order's end. */
  readonly badAnswers: number;
  /** How much later than the new version's fiftieth bad answer it was last sent a request, in milliseconds. */
  readonly lastAfterFiftieth: number | undefined;
}

/** The ways to decide that are compared. */
export interface Ways {
  readonly judge: RolloutJudge;
  readonly ramp: Ramp;
}

/** The bound that orders are played against. */
export const BOUNDS = { share: 0.1, slack: 50 };
/** Milliseconds within which a version gets nothing more after its fiftieth bad answer. */
export const ROLLBACK_WITHIN = 5_000;

const SERVICE = "model";
/** Routes with their part of the requests, the usual milliseconds to the first answer and to the end. */
const ROUTES = [
  { name: "draft", part: 0.25, first: 120, whole: 1_500, reads: 6_000 },
  { name: "query", part: 0.35, first: 40, whole: 1_200, reads: 700 },
  { name: "check", part: 0.4, first: 50, whole: 120, reads: 2_000 },
] as const;
const SLOTS = 16;
/** The part of the places that is taken on average. */
const USUAL_USE = 0.5;
const STEP = 10;
/** Milliseconds of load before the order, from which instances know what is usual. */
const WARM_UP = 12_000;
/** Milliseconds after the deadline that are played. */
const AFTER = 3_000;
/** Milliseconds between two digests, and hops that counts and plans take in small and large fleets. */
const DIGEST = 250;
const HOPS = { small: 1, large: 3 };
/** Milliseconds until another instance has the duty whose holder has died. */
const TAKEOVER = 3_800;
const CALL_LIMIT = 2_000;

interface Worker {
  readonly entry: RoutedWorker;
  readonly isNew: boolean;
  readonly zone: number;
  running: number;
  /** Until when it fails its runs, at which share; or is slow, how many times. */
  failing: { until: number; share: number };
  slow: { until: number; times: number };
}

interface Instance {
  view: RolloutView;
  readonly zone: number;
}

/** Plays an order. */
export async function playOrder(scenario: Scenario, ways: Ways): Promise<Outcome> {
  const random = createSeededRandom(scenario.seed * 7 + 1);
  const clock = createVirtualClock();
  const store = createMemoryStore(clock).connect();
  const { rate, duration, instances: count, strikes } = scenario;
  const meanTime = ROUTES.reduce((all, { part, whole }) => all + part * whole, 0);
  const each = Math.max(4, Math.ceil((rate * meanTime) / 1_000 / (SLOTS * USUAL_USE)));
  const workers = [false, true].flatMap((isNew) =>
    Array.from({ length: each }, (_, place) => workerAt(place, isNew)),
  );
  const entries = workers.map(({ entry }) => entry);
  const history: { at: number; sums: Map<number, RunCounts> }[] = [];
  const createView = (): RolloutView => {
    const view = createRolloutView({
      clock,
      random,
      bounds: BOUNDS,
      time: () => clock.now(),
      instanceCount: () => count,
      fleetCountsOf: (key) => history.at(-1)?.sums.get(key),
      onBegin: () => undefined,
      log: { changed: () => undefined },
    });
    view.setWorkers(entries);
    return view;
  };
  const fleet: Instance[] = Array.from({ length: count }, (_, place) => ({
    view: createView(),
    zone: place % 4,
  }));
  const hops = count > MAX_MESH_SIZE ? HOPS.large : HOPS.small;

  const isStruck = (trouble: Trouble): boolean => {
    const at = clock.now() - WARM_UP;
    return strikes.some(
      (strike) => strike.trouble === trouble && at >= strike.at && at < strike.until,
    );
  };
  const isCut = ({ zone }: Instance): boolean => zone === 0 && isStruck(Trouble.ZoneCut);

  // The order in the store, and how instances hear of it.
  let entry: RolloutEntry | undefined;
  let endedAt: number | undefined;
  const tellEntry = (): void => {
    const said = entry === undefined ? [] : [entry];
    for (const instance of fleet) {
      const delay = DIGEST * hops * random.next();
      clock.after(delay, () => {
        const known = instance.view.find(SERVICE)?.entry.storeVersion ?? 0;
        if (known <= (said[0]?.storeVersion ?? 0)) instance.view.setEntries(said, delay);
      });
    }
  };
  const setStatus = (over: RolloutEntry, status: RolloutStatus): Promise<PutOutcome> => {
    if (isStruck(Trouble.StoreAway)) {
      return Promise.resolve({ kind: "unavailable", detail: "away" });
    }
    if (entry?.storeVersion !== over.storeVersion) return Promise.resolve({ kind: "conflict" });
    entry = { ...entry, storeVersion: entry.storeVersion + 1, status };
    if (status.state !== RolloutState.Running) endedAt = clock.now() - WARM_UP;
    tellEntry();
    return Promise.resolve({ kind: "written", version: entry.storeVersion });
  };

  // Counts and plans travel with the digests.
  const lost = new Map<number, RunCounts>();
  const heard = new Map<Instance, ReadonlyMap<number, RunCounts>>();
  const collect = (): void => {
    const sums = new Map<number, RunCounts>();
    const add = (counts: ReadonlyMap<number, RunCounts>): void => {
      for (const [key, { runs, failures }] of counts) {
        const before = sums.get(key);
        sums.set(
          key,
          before === undefined ? { runs, failures } : sumCounts([before, { runs, failures }]),
        );
      }
    };
    add(lost);
    for (const instance of fleet) {
      if (!isCut(instance)) {
        heard.set(
          instance,
          new Map([...instance.view.counts()].map(([key, counts]) => [key, { ...counts }])),
        );
      }
      add(heard.get(instance) ?? new Map());
    }
    history.push({ at: clock.now(), sums });
    if (history.length > 20) history.shift();
    const plans = fleet[holder]?.view.plans() ?? [];
    for (const instance of fleet) {
      if (instance === fleet[holder] || isCut(instance)) continue;
      const delay = DIGEST * hops * random.next();
      clock.after(delay, () =>
        instance.view.updatePlans(plans.map((plan) => ({ ...plan, age: plan.age + delay }))),
      );
    }
  };
  let holder = 1;
  let fence = 1;
  let holdsFrom = 0;
  let task: RolloutTask | undefined;
  const startTask = (): void => {
    const view = fleet[holder]?.view;
    if (view === undefined) return;
    const own = fence;
    task = createRolloutTask({
      clock,
      bounds: BOUNDS,
      view,
      rollouts: { setStatus },
      store,
      time: () => clock.now(),
      routes: () => ROUTES.map(({ name }) => name),
      fleetCounts: () => {
        const from = clock.now() - DIGEST * (hops - 0.5);
        return history.findLast(({ at }) => at <= from)?.sums ?? new Map();
      },
      runningRequests: () => workers.reduce((sum, { running }) => sum + running, 0),
      fence: () => (own === fence && clock.now() >= holdsFrom ? own : undefined),
      judge: ways.judge,
      log: () => undefined,
    });
    task.start();
  };
  const handOver = (): void => {
    task?.close();
    holder = (holder + 1) % fleet.length;
    fence++;
    holdsFrom = clock.now() + TAKEOVER;
    startTask();
  };

  // Requests.
  let tried = 0;
  let all = 0;
  let badAnswers = 0;
  let allBad = 0;
  let fiftiethAt: number | undefined;
  let lastTriedAt = 0;
  const ends = new Map<number, (() => void)[]>();
  const at = (time: number, run: () => void): void => {
    const step = Math.max(now() + 1, Math.ceil(time / STEP));
    const list = ends.get(step) ?? [];
    ends.set(step, list);
    list.push(run);
  };
  const now = (): number => Math.floor(clock.now() / STEP);
  const isBadNow = (worker: Worker, route: string): boolean => {
    if (!worker.isNew || scenario.sort === Sort.Good) return false;
    const since = clock.now() - WARM_UP;
    if (scenario.onset === Onset.Later) return since >= scenario.turnsAt * duration;
    if (scenario.onset === Onset.UnderLoad) return worker.running >= SLOTS * USUAL_USE * 0.6;
    return scenario.onset === Onset.AtOnce || route === ROUTES[scenario.seed % ROUTES.length]?.name;
  };
  const request = (): void => {
    const instance = fleet[Math.floor(random.next() * fleet.length)];
    const route = drawRoute(random);
    if (instance === undefined) return;
    const worker = choose(instance);
    if (worker === undefined) return;
    const startedAt = clock.now();
    const isBad = isBadNow(worker, route.name);
    const isSlowWorker = worker.slow.until > startedAt;
    const usual = route.first * Math.exp(gaussian(random) * 0.35) * (1 + worker.running / SLOTS);
    const times =
      (isSlowWorker ? worker.slow.times : 1) *
      (isBad && scenario.sort === Sort.Slow ? scenario.strength : 1);
    const first = usual * times;
    const failsAt =
      (worker.failing.until > startedAt ? worker.failing.share : 0) +
      (isBad && scenario.sort === Sort.Fails ? scenario.strength : 0) +
      (isStruck(Trouble.LostAnswers) ? 0.03 : 0);
    const fails = random.next() < failsAt;
    worker.running++;
    const tally: RunTally = instance.view.begin({
      worker: worker.entry,
      route: route.name,
      reads: route.reads * (0.7 + 0.6 * random.next()),
      isCold: false,
    });
    const since = startedAt - WARM_UP;
    if (entry !== undefined && since >= 0 && since < duration) all++;
    if (worker.isNew && entry !== undefined) {
      if (since < duration) tried++;
      lastTriedAt = startedAt;
    }
    at(startedAt + first, () => {
      if (!fails) tally.recordAnswer(clock.now());
      if (worker.isNew && (fails || (isBad && scenario.sort === Sort.Slow))) {
        if (endedAt === undefined) badAnswers++;
        if (++allBad === 50) fiftiethAt = clock.now();
      }
    });
    // A failure is the whole answer.
    at(startedAt + first + (fails ? 0 : route.whole - route.first), () => {
      worker.running--;
      tally.recordEnd(fails ? "failed" : "well");
    });
  };
  const choose = ({ view }: Instance): Worker | undefined => {
    const admission = view.admitting(SERVICE);
    const serving = workers.filter(({ entry: one }) => admission?.serves(one) ?? true);
    if (admission === undefined) return lessLoaded(serving, random);
    if (ways.ramp === "even") return lessLoaded(drawEvenly(view) ?? serving, random);
    const usual = serving.reduce((sum, { running }) => sum + running, 0) / serving.length;
    const trial = workers.filter(
      ({ entry: one, running }) => admission.onTrial.has(one.id) && running <= usual,
    );
    return lessLoaded(trial.length > 0 ? trial : serving, random);
  };
  /** The other way: for a share of the requests that is drawn, all new workers at any time. */
  const drawEvenly = (view: RolloutView): Worker[] | undefined => {
    if (view.find(SERVICE)?.phase !== RolloutPhase.Trial) return undefined;
    const { maxShares: parts } = planRollout(duration, BOUNDS);
    const isDrawn = random.next() < parts[RolloutPhase.Trial];
    return isDrawn ? workers.filter(({ isNew }) => isNew) : undefined;
  };

  const strike = (trouble: Trouble, until: number): void => {
    const some = workers.filter(() => random.next() < 0.15);
    if (trouble === Trouble.FailingWorkers) {
      for (const worker of some) worker.failing = { until, share: 0.4 };
    } else if (trouble === Trouble.CrashedWorkers) {
      for (const worker of some) worker.failing = { until, share: 1 };
    } else if (trouble === Trouble.SlowWorkers) {
      for (const worker of some) worker.slow = { until, times: 4 };
    } else if (trouble === Trouble.HolderDies) {
      handOver();
    } else if (trouble === Trouble.AllRestart) {
      const last = history.at(-1)?.sums;
      for (const [key, counts] of last ?? []) lost.set(key, counts);
      heard.clear();
      for (const instance of fleet) {
        instance.view = createView();
        instance.view.setEntries(entry === undefined ? [] : [entry], undefined);
      }
      handOver();
    }
  };
  const waiting = [...strikes];
  let nextDigest = 0;
  startTask();
  const last = WARM_UP + duration + AFTER;
  while (clock.now() < last) {
    const time = clock.now();
    if (entry === undefined && time >= WARM_UP) {
      entry = {
        order: { service: SERVICE, to: "v2", duration },
        storeVersion: 1,
        status: undefined,
      };
      tellEntry();
    }
    for (const one of waiting.filter(({ at: begins }) => time >= WARM_UP + begins)) {
      waiting.splice(waiting.indexOf(one), 1);
      strike(one.trouble, WARM_UP + one.until);
    }
    for (const end of ends.get(now()) ?? []) end();
    ends.delete(now());
    const arrivals = poisson((rate * (isStruck(Trouble.Burst) ? 2 : 1) * STEP) / 1_000, random);
    for (let index = 0; index < arrivals; index++) request();
    if (time >= nextDigest) {
      nextDigest = time + DIGEST;
      collect();
    }
    await clock.advance(STEP);
    if (endedAt !== undefined && time > WARM_UP + endedAt + CALL_LIMIT && endedAt < duration) {
      // Once an order has ended nothing changes but that a completed version goes on to get everything.
      if (entry?.status?.state === RolloutState.RolledBack) break;
    }
  }
  task?.close();
  return {
    seed: scenario.seed,
    state: entry?.status?.state,
    endedAt,
    tried,
    all,
    badAnswers,
    lastAfterFiftieth: fiftiethAt === undefined ? undefined : lastTriedAt - fiftiethAt,
  };
}

function workerAt(place: number, isNew: boolean): Worker {
  const zone = place % 4;
  return {
    entry: {
      id: `${isNew ? "n" : "o"}-${place}`,
      born: isNew ? WARM_UP : 0,
      service: SERVICE,
      version: isNew ? "v2" : "v1",
      address: `10.0.${isNew ? 1 : 0}.${place}:80`,
      zone: `z${zone}`,
      slots: SLOTS,
      purchase: Purchase.OnDemand,
      isLeaving: false,
      leavesIn: undefined,
      coldFor: 0,
    },
    isNew,
    zone,
    running: 0,
    failing: { until: 0, share: 0 },
    slow: { until: 0, times: 1 },
  };
}

function drawRoute(random: Random): (typeof ROUTES)[number] {
  let left = random.next();
  for (const route of ROUTES) {
    left -= route.part;
    if (left < 0) return route;
  }
  return ROUTES[0];
}

/** The less loaded of three that are drawn, as instances choose by news of each other. */
function lessLoaded(workers: readonly Worker[], random: Random): Worker | undefined {
  let best: Worker | undefined;
  for (let draw = 0; draw < 3; draw++) {
    const one = workers[Math.floor(random.next() * workers.length)];
    if (one !== undefined && (best === undefined || one.running < best.running)) best = one;
  }
  return best;
}

function gaussian(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function poisson(mean: number, random: Random): number {
  const limit = Math.exp(-mean);
  let product = random.next();
  let count = 0;
  while (product > limit) {
    product *= random.next();
    count++;
  }
  return count;
}
