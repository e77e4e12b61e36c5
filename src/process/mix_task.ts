import { createZoneLosses, estimateInitialDemand, planMix, sum } from "../decision/index.ts";
import type { DemandLevel, MixOrder } from "../decision/index.ts";
import { PLATFORM_CALL_TIMEOUT, Purchase } from "../interface/index.ts";
import type { CallOutcome, Clock, Platform, RoutedWorker } from "../interface/index.ts";
import type { RoutedService } from "../version/index.ts";

/** Dependencies of {@linkcode createMixTask}. */
export interface MixTaskParts {
  readonly clock: Clock;
  readonly platform: Platform;
  /** The services of the active configuration. */
  readonly services: () => readonly RoutedService[];
  readonly workers: () => readonly RoutedWorker[];
  /**
   * Returns the number of workers that a service's load keeps busy.
   *
   * @param first Value assumed until load has been observed.
   */
  readonly estimateDemand: (service: RoutedService, first: number) => DemandLevel;
  /**
   * Returns the fencing token for a call that may take this many milliseconds. Undefined if this instance doesn't hold
   * the lease for that long.
   */
  readonly fence: (callTime: number) => number | undefined;
  /** Name of this instance, sent with each order. */
  readonly holder: string;
  /** Logs a state change. */
  readonly log: (step: string, fields: Record<string, string | number>) => void;
}

/** A task that orders workers from the platform while this instance holds the lease. */
export interface MixTask {
  start(): void;
  /** Schedules the next plan soon, because workers were added or began to leave. */
  workersChanged(): void;
  close(): void;
}

/** Interval between two plans, in milliseconds. */
const PLAN_INTERVAL = 500;
/**
 * Delay from a change of the workers to the next plan, in milliseconds. The removals of all workers of a reclaimed zone
 * arrive within a few milliseconds of each other. Each second by which a replacement on-demand worker starts earlier
 * avoids one second of late first tokens.
 */
const CHANGE_DELAY = 30;
/** Interval at which an unmet order is sent again, in milliseconds: the market may have capacity again. */
const RESEND_INTERVAL = 1_000;
/**
 * Time for which a market that refused an order counts as having no capacity, in milliseconds. Longer than the interval
 * of repeated orders, so that each new refusal extends it.
 */
const EXHAUSTED_TIME = 3_000;
/** Time for which on-demand workers are kept after a plan last included them, in milliseconds. */
const HOLD_TIME = 6_000;
/**
 * Time for which the set of workers must be stable before the first plan, in milliseconds. Each worker registers in the
 * store within about one of its heartbeats.
 */
const SETTLE_TIME = 1_500;
/** Time by which an ordered worker may exceed the usual start-up time, in milliseconds. */
const TAKEOVER_MARGIN = 1_500;

/** The latest order for a service, zone and kind of purchase. */
interface SentOrder {
  readonly count: number;
  readonly at: number;
  readonly outcome: CallOutcome["kind"];
}

/**
 * Creates the task.
 *
 * It regularly plans how many reclaimable and on-demand workers each service needs in each availability zone, and
 * orders the counts that differ from the previous order. Orders state absolute counts, so repeating an order has no
 * effect.
 */
export function createMixTask(parts: MixTaskParts): MixTask {
  const { clock, platform } = parts;
  const sent = new Map<string, SentOrder>();
  /** By service and zone, the time until which its market counts as having no reclaimable capacity. */
  const exhaustedUntil = new Map<string, number>();
  /** By service, the counts of on-demand workers in recent plans. */
  const recentOnDemand = new Map<string, { onDemand: number; at: number }[]>();
  /** By service, the demand assumed before any load, derived from the workers present at the first plan. */
  const initialDemand = new Map<string, number>();
  /** By service, the demand derived before the first plan, and the time since which it has been unchanged. */
  const observedDemand = new Map<string, { first: number; since: number }>();
  const losses = createZoneLosses();
  let leaseHeldSince: number | undefined;
  let closed = false;
  let wakeUp = (): void => undefined;
  const isClosed = (): boolean => closed;

  /**
   * Sends one order. Returns whether the market has newly run out of capacity, which makes the plan's assumption wrong.
   */
  const order = async (
    service: string,
    { zone, purchase, count }: MixOrder,
    { readyCount, inputs }: { readyCount: ReadyCount; inputs: PlanInputs },
  ): Promise<boolean> => {
    const fence = parts.fence(PLATFORM_CALL_TIMEOUT);
    if (fence === undefined) return false;
    let isNewlyExhausted = false;
    const by = { holder: parts.holder, fence };
    const outcome = await platform.orderWorkers({ service, zone, purchase, count }, by);
    const key = orderKey(service, zone, purchase);
    if (purchase === Purchase.Reclaimable) {
      const marketKey = `${service} ${zone}`;
      if (outcome.kind === "none-available") {
        isNewlyExhausted = (exhaustedUntil.get(marketKey) ?? 0) <= clock.now();
        exhaustedUntil.set(marketKey, clock.now() + EXHAUSTED_TIME);
      } else if (outcome.kind === "accepted" && count > readyCount(zone, purchase))
        exhaustedUntil.delete(marketKey);
    }
    const previous = sent.get(key);
    sent.set(key, { count, at: clock.now(), outcome: outcome.kind });
    if (previous?.count !== count || previous.outcome !== outcome.kind) {
      parts.log("workers-ordered", {
        service,
        zone,
        purchase,
        count,
        outcome: outcome.kind,
        fence,
        ...inputs,
      });
    }
    return isNewlyExhausted;
  };
  const isDue = (service: string, readyCount: ReadyCount, wanted: MixOrder): boolean => {
    const previous = sent.get(orderKey(service, wanted.zone, wanted.purchase));
    if (previous?.count !== wanted.count) return true;
    const isReady = readyCount(wanted.zone, wanted.purchase) === wanted.count;
    const isMet = previous.outcome === "accepted" && isReady;
    return !isMet && clock.now() - previous.at >= RESEND_INTERVAL;
  };
  /** Plans a service and sends its due orders. Returns whether any market has newly run out of capacity. */
  const plan = async (service: RoutedService): Promise<boolean> => {
    const { scaling, name } = service;
    if (scaling === undefined) return false;
    const readyCount = countReady(parts.workers(), service);
    const now = clock.now();
    const stock = [...scaling.zonePrices.keys()].map((zone) => ({
      zone,
      reclaimable: readyCount(zone, Purchase.Reclaimable),
      ordered:
        sent.get(orderKey(name, zone, Purchase.OnDemand))?.count ??
        readyCount(zone, Purchase.OnDemand),
      isExhausted: now < (exhaustedUntil.get(`${name} ${zone}`) ?? 0),
    }));
    const lossInterval = losses.observe(name, { stock, now });
    const recent = (recentOnDemand.get(name) ?? []).filter(({ at }) => now - at < HOLD_TIME);
    const heldOnDemand = Math.max(0, ...recent.map(({ onDemand }) => onDemand));
    const totalReady = (purchase: Purchase): number =>
      sum([...scaling.zonePrices.keys()].map((zone) => readyCount(zone, purchase)));
    const first = estimateInitialDemand(scaling, {
      reclaimable: totalReady(Purchase.Reclaimable),
      onDemand: totalReady(Purchase.OnDemand),
    });
    const demand = parts.estimateDemand(service, initialDemand.get(name) ?? first);
    if (!initialDemand.has(name)) {
      // When a deployment starts, its workers register one after another. A plan based on the first few would release
      // most of the others and order too few.
      const previous = observedDemand.get(name);
      const observed = previous?.first === first ? previous : { first, since: now };
      observedDemand.set(name, observed);
      if (!demand.hasLoad && now - observed.since < SETTLE_TIME) return false;
      initialDemand.set(name, first);
    }
    const heldSince = (leaseHeldSince ??= now);
    const { orders, wantedOnDemand } = planMix({
      scaling,
      stock,
      demand,
      heldOnDemand,
      lossInterval,
    });
    recentOnDemand.set(name, [...recent, { onDemand: wantedOnDemand, at: now }]);
    const inputs = {
      inUse: demand.current,
      inUseLately: demand.smoothed,
      readingLately: demand.smoothedPrefill,
      held: heldOnDemand,
      ready: totalReady(Purchase.Reclaimable) + totalReady(Purchase.OnDemand),
      dry: stock.filter(({ isExhausted }) => isExhausted).length,
    };
    // Workers ordered by the previous lease holder that haven't started yet are not visible. Until they must have
    // started, no on-demand worker is released.
    const isNewHolder = demand.hasLoad && now - heldSince < scaling.startUp + TAKEOVER_MARGIN;
    let isNewlyExhausted = false;
    for (const wanted of orders) {
      const isLess = wanted.count <= readyCount(wanted.zone, wanted.purchase);
      if (isNewHolder && isLess && wanted.purchase === Purchase.OnDemand) continue;
      if (!isDue(name, readyCount, wanted)) continue;
      const isMarketExhausted = await order(name, wanted, { readyCount, inputs });
      isNewlyExhausted ||= isMarketExhausted;
    }
    return isNewlyExhausted;
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      if (parts.fence(PLATFORM_CALL_TIMEOUT) === undefined) {
        sent.clear();
        initialDemand.clear();
        observedDemand.clear();
        leaseHeldSince = undefined;
      } else for (const service of parts.services()) await planWithRetry(service);
      await pause();
    }
  };
  /** Plans a second time immediately if the first plan's orders showed that a market has run out of capacity. */
  const planWithRetry = async (service: RoutedService): Promise<void> => {
    if (await plan(service)) await plan(service);
  };
  const pause = (): Promise<void> =>
    new Promise((resolve) => {
      let timer = clock.after(PLAN_INTERVAL, resolve);
      wakeUp = () => {
        timer.close();
        timer = clock.after(CHANGE_DELAY, resolve);
        wakeUp = () => undefined;
      };
    });
  return {
    start: () => void run(),
    workersChanged: () => wakeUp(),
    close: () => {
      closed = true;
    },
  };
}

/** The inputs of a plan, for the log. All are numbers of workers, except `dry`, a number of zones. */
interface PlanInputs {
  readonly inUse: number;
  readonly inUseLately: number;
  readonly readingLately: number;
  readonly held: number;
  readonly ready: number;
  readonly dry: number;
}

/** Returns the number of workers that accept requests, by zone and purchase. */
type ReadyCount = (zone: string, purchase: Purchase) => number;

function countReady(workers: readonly RoutedWorker[], service: RoutedService): ReadyCount {
  const ready = workers.filter((worker) => worker.service === service.name && !worker.isLeaving);
  return (zone, purchase) =>
    ready.filter((worker) => worker.zone === zone && worker.purchase === purchase).length;
}

function orderKey(service: string, zone: string, purchase: Purchase): string {
  return `${service} ${zone} ${purchase}`;
}
