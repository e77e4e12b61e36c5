import { z } from "zod";
import { judgeRollout, planRollout, RolloutPhase, sum, countTrialRuns } from "../decision/index.ts";
import type {
  RolloutLimits,
  RolloutJudge,
  RolloutVerdict,
  RouteEvidence,
  RunCounts,
} from "../decision/index.ts";
import { PLATFORM_CALL_TIMEOUT, RolloutState, sleep } from "../interface/index.ts";
import type { Clock, ObjectStore, RestorableStore, RolloutStore } from "../interface/index.ts";
import { isFinalRolloutState, nextStatus } from "../version/index.ts";
import { countsSince, createCountHistory } from "./count_history.ts";
import type { CountHistory } from "./count_history.ts";
import type { RolloutView, ServiceRollout } from "./rollout_view.ts";

/** A task that completes or rolls back rollouts while this instance holds the lease. */
export interface RolloutTask {
  /** Returns the latest verdict on a service's order. */
  verdict(service: string): RolloutVerdict | undefined;
  start(): void;
  close(): void;
}

/** Dependencies of {@linkcode createRolloutTask}. */
export interface RolloutTaskParts {
  readonly clock: Clock;
  readonly limits: RolloutLimits;
  readonly view: RolloutView;
  readonly rollouts: RolloutStore;
  /** Stores the start time of each order, which would otherwise be lost if all instances restart. */
  readonly store: Pick<ObjectStore, "get" | "put"> & RestorableStore;
  /** Returns the time synchronized across instances, in milliseconds since the Unix epoch. */
  readonly time: () => number;
  /** Returns the names of the routes that lead to a service. */
  readonly routes: (service: string) => readonly string[];
  /** Returns the fleet-wide run counts of versions, by hashes from `tallyKeys`. */
  readonly fleetCounts: () => ReadonlyMap<number, RunCounts>;
  /** Returns the number of requests of all instances that run at the service's workers. */
  readonly runningRequests: (service: string) => number;
  /**
   * Returns the fencing token for a call that may take this many milliseconds. Undefined if this instance doesn't hold
   * the lease for that long.
   */
  readonly fence: (callTime: number) => number | undefined;
  /** Decides whether a version is bad. Defaults to a likelihood-ratio test. */
  readonly judge?: RolloutJudge;
  /** Logs a state change. */
  readonly log: (step: string, fields: Record<string, string | number | boolean>) => void;
}

/** Interval between two evaluations of an order, in milliseconds. */
const POLL_INTERVAL = 150;
/** Fractions of an order's elapsed time. The counts since each of these points are also judged separately. */
const RECENT_STARTS = [0.5, 0.75, 0.875];
/** Minimum number of runs at the new version for a decision in its favor. */
const MIN_RUNS = 6;
/** Maximum fraction of the new workers' slots that the current requests may occupy. */
const MAX_OCCUPANCY = 0.9;

const recordSchema = z.object({ to: z.string(), startedAt: z.number().nonnegative() });

/** Milliseconds by which an order may seem to start in the future: clocks differ, and may have been set back. */
const MAX_CLOCK_DIFFERENCE = 60_000;

/** The next state of an order and its reason, for the log. */
interface Decision {
  readonly state: RolloutState;
  readonly reason: string;
  readonly route?: string;
  readonly evidence?: number;
}

/**
 * Creates the task.
 *
 * It judges the new version by the fleet-wide run counts, rolls the order back as soon as the version is judged bad,
 * and otherwise completes it shortly before its deadline. `rollout_rules.ts` decides which status may be written, and
 * over which stored version.
 */
export function createRolloutTask(parts: RolloutTaskParts): RolloutTask {
  const { clock, limits, view, time, log, judge: judgeEvidence = judgeRollout } = parts;
  const verdicts = new Map<string, RolloutVerdict>();
  const histories = new Map<string, CountHistory>();
  /** By service, the version and start time of the order as confirmed in the store, and the store's era then. */
  const startRecords = new Map<string, z.infer<typeof recordSchema> & { readonly era: number }>();
  let closed = false;
  const isClosed = (): boolean => closed;

  /**
   * Returns the start time of the order: the locally known one, which is also written to the store, otherwise the
   * stored one, otherwise the current time. Undefined if it isn't known locally and the store can't be read. After a
   * restore of the store, which may have lost the time, it is written again.
   */
  const loadStartTime = async (
    service: string,
    order: ServiceRollout,
  ): Promise<number | undefined> => {
    const { to } = order.entry.order;
    const { era } = parts.store;
    const existing = startRecords.get(service);
    const confirmedAt = existing?.to === to ? existing.startedAt : undefined;
    if (confirmedAt !== undefined && existing?.era === era) return confirmedAt;
    const knownStart = confirmedAt ?? order.startedAt;
    const key = `samphireshore/rollout/${service}`;
    const found = await parts.store.get(key);
    if (found.kind === "unavailable") return knownStart;
    const stored = found.kind === "found" ? parseRecord(found.object.value) : undefined;
    // Another program may have written it. An order that starts in the future would never end.
    const isCredible = (stored?.startedAt ?? 0) <= time() + MAX_CLOCK_DIFFERENCE;
    const isStored = stored?.to === to && knownStart === undefined && isCredible;
    const record = isStored ? stored : { to, startedAt: knownStart ?? time() };
    if (!isStored) {
      const expect = found.kind === "found" ? found.object.version : 0;
      const outcome = await parts.store.put(key, JSON.stringify(record), { expect });
      if (outcome.kind !== "written") return record.startedAt;
    }
    startRecords.set(service, { ...record, era });
    return record.startedAt;
  };
  /** Whether the new workers can take over the current load, or have at least about the old workers' capacity. */
  const hasCapacity = (service: string): boolean => {
    const { base, trial } = view.stock(service);
    const capacity = sum(trial.map(({ slots }) => slots)) * MAX_OCCUPANCY;
    const minCapacity = sum(base.map(({ slots }) => slots)) * MAX_OCCUPANCY ** 2;
    return (
      trial.length > 0 && (parts.runningRequests(service) <= capacity || capacity >= minCapacity)
    );
  };
  /**
   * Judges all counts since the order, and also only the recent ones, because a version may become bad at any time.
   */
  const evaluate = (
    service: string,
    { elapsed, isLast }: { elapsed: number; isLast: boolean },
  ): { verdict: RolloutVerdict; runs: number } => {
    const routes = parts.routes(service);
    const sums = parts.fleetCounts();
    const evidenceOf = (counts: ReadonlyMap<number, RunCounts>): RouteEvidence[] =>
      view.evidence(service, { routes, sums: counts });
    const all = evidenceOf(sums);
    const history = historyFor(service);
    let verdict = judgeEvidence(all, { isLast });
    for (const part of RECENT_STARTS) {
      const before = history.at(elapsed * part);
      if (before === undefined) continue;
      const recent = judgeEvidence(evidenceOf(countsSince(sums, before)), { isLast });
      if (isWorse(recent, verdict)) verdict = recent;
    }
    history.record(elapsed, sums);
    verdicts.set(service, verdict);
    return { verdict, runs: countTrialRuns(all) };
  };
  const historyFor = (service: string): CountHistory => {
    const existing = histories.get(service) ?? createCountHistory();
    histories.set(service, existing);
    return existing;
  };
  const updateStatus = async (
    service: string,
    { entry, sent }: ServiceRollout,
    { state, ...details }: Decision,
  ): Promise<void> => {
    const status = nextStatus(entry, state);
    if (status === undefined || parts.fence(PLATFORM_CALL_TIMEOUT) === undefined) return;
    const outcome = await parts.rollouts.setStatus(entry, status);
    log("rollout", {
      service,
      to: entry.order.to,
      state,
      ...details,
      outcome: outcome.kind,
      store: entry.storeVersion,
      sentHere: sent.all,
      triedHere: sent.tried,
    });
  };
  const advance = async (service: string): Promise<void> => {
    const order = view.find(service);
    if (order === undefined || isFinalRolloutState(order.state)) {
      startRecords.delete(service);
      histories.delete(service);
      return;
    }
    const { entry, served } = order;
    if (served === undefined) return;
    const { to, duration } = entry.order;
    if (served.base === to) {
      await updateStatus(service, order, {
        state: RolloutState.Completed,
        reason: "served-already",
      });
      return;
    }
    if (served.tried === undefined) {
      await updateStatus(service, order, {
        state: RolloutState.RolledBack,
        reason: "rolled-back-before",
      });
      return;
    }
    const startedAt = await loadStartTime(service, order);
    const fence = parts.fence(PLATFORM_CALL_TIMEOUT);
    if (startedAt === undefined || fence === undefined) return;
    const { switchAt, completeAt } = planRollout(duration, limits);
    const elapsed = time() - startedAt;
    const isLast = elapsed >= switchAt;
    const { verdict, runs } = evaluate(service, { elapsed, isLast });
    if (verdict.kind === "bad") {
      const { fault: reason, route, evidence } = verdict;
      await updateStatus(service, order, {
        state: RolloutState.RolledBack,
        reason,
        route,
        evidence,
      });
      return;
    }
    const canServe = runs >= MIN_RUNS && hasCapacity(service);
    if (elapsed >= completeAt) {
      if (canServe) {
        await updateStatus(service, order, {
          state: RolloutState.Completed,
          reason: "good",
          evidence: verdict.evidence,
        });
        return;
      }
      if (elapsed >= duration) {
        const reason = runs < MIN_RUNS ? "untried" : "no-room";
        await updateStatus(service, order, { state: RolloutState.RolledBack, reason });
        return;
      }
    }
    const phase = isLast && canServe ? RolloutPhase.Switch : RolloutPhase.Trial;
    view.updatePlans([{ service, to, fence, phase, age: 0, startedAt }]);
    await updateStatus(service, order, { state: RolloutState.Running, reason: "begun" });
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      if (parts.fence(PLATFORM_CALL_TIMEOUT) === undefined) {
        startRecords.clear();
        histories.clear();
      } else for (const service of view.services()) await advance(service);
      await sleep(clock, POLL_INTERVAL);
    }
  };
  return {
    verdict: (service) => verdicts.get(service),
    start: () => void run(),
    close: () => {
      closed = true;
    },
  };
}

function isWorse(a: RolloutVerdict, b: RolloutVerdict): boolean {
  return a.kind === b.kind ? a.evidence > b.evidence : a.kind === "bad";
}

function parseRecord(text: string): z.infer<typeof recordSchema> | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // The value isn't valid JSON: the start time is written again.
    return undefined;
  }
}
