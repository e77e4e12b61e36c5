/**
 * Runs a soak test: starts the processes of a plan, injects its faults under load and collects the records.
 *
 * @module
 */
import { createSeededRandom, sleep } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { startPlatformStandin, StoreMood } from "../../platform/testing/platform_standin.ts";
import type { PlatformStandin } from "../../platform/testing/platform_standin.ts";
import { isReadyAt, resolveAt, runCaller, runOpenLoopCaller } from "./callers.ts";
import type { CallerParts } from "./callers.ts";
import { createFleet } from "./fleet.ts";
import type { SoakFleet } from "./fleet.ts";
import { LinkMood } from "./link_proxy.ts";
import { RequestKind, EVERYTHING, STORE, wallNow } from "./observation.ts";
import type { Observations, ObservedRequest, ObservedEnd } from "./observation.ts";
import { createOperator } from "./operator.ts";
import type { Operator } from "./operator.ts";
import { FaultKind, QUIET } from "./plan.ts";
import type { Fault, SoakPlan } from "./plan.ts";
import { openProcesses } from "./processes.ts";
import { createRecord } from "./record.ts";
import type { SoakRecord } from "./record.ts";
import { WorkerMood } from "../../platform/testing/worker_standin.ts";

/** Result of a soak test. */
export interface Played {
  /** Records that the checks use. */
  readonly seen: Observations;
  /** Last lines of each instance's log, by the name of the instance. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

/** Milliseconds between two crashing requests. */
const CRASHING_PAUSE = 250;
/** Milliseconds between two requests of the client account that exceeds its quota. */
const HOT_PAUSE = 12;
/** Limit that a backend server announces, in requests per second. */
const NAMED_LIMIT = 1;
/** Pause of a rolling restart after each restarted instance, in milliseconds. */
const ROLLING_PAUSE = 600;
/** Milliseconds between two samples of the instances' resource usage. */
const LOOK_PERIOD = 500;

/** Objects that an injection acts on. */
interface Stage {
  readonly fleet: SoakFleet;
  readonly platform: PlatformStandin;
  readonly operator: Operator;
  readonly record: SoakRecord;
  readonly callers: Omit<CallerParts, "isActive">;
}

/** Runs a plan with newly started processes and returns the records. */
export async function playSoak(plan: SoakPlan): Promise<Played> {
  const random = createSeededRandom(plan.seed + 1);
  const processes = await openProcesses();
  const platform = await startPlatformStandin();
  const record = createRecord(platform);
  const operator = createOperator(platform, record);
  const fleet = await createFleet(plan, { processes, platform, record });
  try {
    await fleet.untilReady();
    const { resolvers } = fleet;
    const callers = {
      resolvers,
      random,
      onRequest: (request: ObservedRequest): void => record.answered(request),
    };
    const stage = { fleet, platform, operator, record, callers };
    record.begin();
    const faultsEnd = { at: Infinity };
    const minEnd = wallNow() + plan.length;
    const isActive = (): boolean => wallNow() < Math.max(minEnd, faultsEnd.at + QUIET.after);
    const load = Array.from({ length: plan.callers }, (_, index) =>
      runCaller(`c${index}`, { ...callers, isActive }),
    );
    const probes = operator.probe(fleet, isActive);
    const samples = lookAt(stage, isActive);
    const faults = plan.faults.map((fault, index) => inject(stage, fault, index));
    // A rolling restart may end later than planned, so the load continues until all faults are over.
    await Promise.all(faults);
    faultsEnd.at = wallNow();
    await Promise.all([...load, probes, samples]);
    record.end(await endsOf(fleet));
    return { seen: record.seen(), logs: fleet.logs() };
  } finally {
    await fleet.close();
    await processes.close();
    await platform.close();
  }
}

/** Waits until a fault is due, injects it, and ends it after its duration. */
async function inject(stage: Stage, fault: Fault, index: number): Promise<void> {
  await sleep(systemClock, fault.at);
  const { target, begin, end } = INJECTIONS[fault.kind](stage, fault, `f${index}`);
  const from = wallNow();
  const endDisturbance = stage.record.disturbed(target, { isPlanned: PLANNED.has(fault.kind) });
  await begin();
  const remaining = fault.lasts - (wallNow() - from);
  if (remaining > 0) await sleep(systemClock, remaining);
  await end();
  endDisturbance();
}

/** Implementation of a fault: the target whose violations are excused, and the actions at its start and end. */
interface Injection {
  readonly target: string;
  readonly begin: () => unknown;
  readonly end: () => unknown;
}

/** Faults that correspond to planned actions of an operator. */
const PLANNED: ReadonlySet<FaultKind> = new Set([
  FaultKind.InstanceStopped,
  FaultKind.RollingRestart,
]);

/** Target of a fault that excuses no violations. */
const NOTHING_DISTURBED = "";

type InjectionOf = (stage: Stage, fault: Fault, name: string) => Injection;

const instanceInjection =
  (act: (fleet: SoakFleet, place: number) => Pick<Injection, "begin" | "end">): InjectionOf =>
  ({ fleet }, { place }) => ({ target: fleet.instanceAt(place), ...act(fleet, place) });

const storeLink =
  (mood: LinkMood): InjectionOf =>
  ({ fleet }, { place }) => ({
    target: fleet.instanceAt(place),
    begin: () => fleet.storeLink(place).setMood(mood),
    end: () => fleet.storeLink(place).setMood(LinkMood.Well),
  });

const workerMood =
  (mood: WorkerMood, limit?: number): InjectionOf =>
  ({ fleet }, { place }) => ({
    target: NOTHING_DISTURBED,
    begin: () => fleet.tellWorker(place, { mood, limit }),
    end: () => fleet.tellWorker(place, { mood: WorkerMood.Well, limit: undefined }),
  });

const workerLink =
  (mood: LinkMood): InjectionOf =>
  ({ fleet }, { place }) => ({
    target: NOTHING_DISTURBED,
    begin: () => fleet.workerLink(place).setMood(mood),
    end: () => fleet.workerLink(place).setMood(LinkMood.Well),
  });

const openLoop =
  (kind: RequestKind, pause: number): InjectionOf =>
  ({ callers }, { lasts }, name) => {
    const until = wallNow() + lasts;
    let sending: Promise<void> | undefined;
    return {
      target: NOTHING_DISTURBED,
      begin: () => {
        const isActive = (): boolean => wallNow() < until;
        sending = runOpenLoopCaller(name, { ...callers, kind, pause, isActive });
      },
      end: () => sending,
    };
  };

const INJECTIONS: Readonly<Record<FaultKind, InjectionOf>> = {
  [FaultKind.InstanceKilled]: instanceInjection((fleet, place) => ({
    begin: () => fleet.killInstance(place),
    end: () => fleet.restartInstance(place),
  })),
  [FaultKind.InstancePaused]: instanceInjection((fleet, place) => ({
    begin: () => fleet.signalInstance(place, "SIGSTOP"),
    end: () => fleet.signalInstance(place, "SIGCONT"),
  })),
  [FaultKind.InstanceStopped]: instanceInjection((fleet, place) => ({
    begin: () => fleet.stopInstance(place),
    end: () => fleet.restartInstance(place),
  })),
  [FaultKind.RollingRestart]: ({ fleet }) => ({
    target: EVERYTHING,
    begin: async () => {
      for (const place of fleet.places) {
        await fleet.stopInstance(place);
        fleet.restartInstance(place);
        await sleep(systemClock, ROLLING_PAUSE);
      }
    },
    end: () => undefined,
  }),
  [FaultKind.AllKilled]: ({ fleet }) => ({
    target: EVERYTHING,
    begin: () => Promise.all(fleet.places.map((place) => fleet.killInstance(place))),
    end: () => fleet.places.forEach((place) => fleet.restartInstance(place)),
  }),
  [FaultKind.StoreLinkSilent]: storeLink(LinkMood.Silent),
  [FaultKind.StoreAnswersLost]: storeLink(LinkMood.AnswersLost),
  [FaultKind.StoreAway]: ({ platform }) => ({
    target: STORE,
    begin: () => void (platform.mood = StoreMood.Busy),
    end: () => void (platform.mood = StoreMood.Well),
  }),
  [FaultKind.StoreSlow]: ({ fleet }) => ({
    target: STORE,
    begin: () => fleet.places.forEach((place) => fleet.storeLink(place).setMood(LinkMood.Slow)),
    end: () => fleet.places.forEach((place) => fleet.storeLink(place).setMood(LinkMood.Well)),
  }),
  [FaultKind.StoreForgets]: ({ platform }) => ({
    target: NOTHING_DISTURBED,
    begin: () => platform.compact(),
    end: () => undefined,
  }),
  [FaultKind.WorkerKilled]: ({ fleet }, { place }) => ({
    target: NOTHING_DISTURBED,
    begin: () => fleet.killWorker(place),
    end: () => undefined,
  }),
  [FaultKind.WorkerPaused]: ({ fleet }, { place }) => ({
    target: NOTHING_DISTURBED,
    begin: () => fleet.signalWorker(place, "SIGSTOP"),
    end: () => fleet.signalWorker(place, "SIGCONT"),
  }),
  [FaultKind.WorkerFails]: workerMood(WorkerMood.Failing),
  [FaultKind.WorkerBreaks]: workerMood(WorkerMood.Breaking),
  [FaultKind.WorkerFull]: workerMood(WorkerMood.Full),
  [FaultKind.WorkerLeaves]: ({ fleet }, { place }) => ({
    target: NOTHING_DISTURBED,
    begin: () => fleet.replaceWorker(place),
    end: () => undefined,
  }),
  [FaultKind.WorkerLinkReset]: workerLink(LinkMood.Resetting),
  [FaultKind.WorkerLinkSlow]: workerLink(LinkMood.Slow),
  [FaultKind.WorkerLimited]: workerMood(WorkerMood.Well, NAMED_LIMIT),
  [FaultKind.CrashingRequest]: openLoop(RequestKind.Crashing, CRASHING_PAUSE),
  [FaultKind.HotAccount]: openLoop(RequestKind.Hot, HOT_PAUSE),
  [FaultKind.ConfigurationChanged]: ({ operator }) => ({
    target: NOTHING_DISTURBED,
    begin: () => operator.change(),
    end: () => undefined,
  }),
};

/** Records the resource usage of the instances, and stalls of this process. */
async function lookAt({ fleet, record }: Stage, isActive: () => boolean): Promise<void> {
  while (isActive()) {
    const at = wallNow();
    await sleep(systemClock, LOOK_PERIOD);
    record.looked(fleet.uses(), { from: at, to: wallNow(), expected: LOOK_PERIOD });
  }
}

/** Requests the readiness and the resolved addresses of each instance at the end of the test. */
function endsOf(fleet: SoakFleet): Promise<ObservedEnd[]> {
  return Promise.all(
    fleet.listens.map(async ({ callers, ready, resolve }) => {
      const isReady = await isReadyAt(ready);
      const resolved = (await resolveAt(resolve))?.addresses ?? [];
      return { instance: callers, isReady, resolved };
    }),
  );
}
