import { createZoneLosses, firstInUse, planMix, sum } from "../decision/index.ts";
import type { DemandLevel, MixOrder } from "../decision/index.ts";
import { DUTY_CALL_TIME, Purchase } from "../interface/index.ts";
import type { CallOutcome, Clock, Platform, RoutedWorker } from "../interface/index.ts";
import type { RoutedService } from "../version/index.ts";

/** What the task is made with. */
export interface MixTaskParts {
  readonly clock: Clock;
  readonly platform: Platform;
  readonly services: () => readonly RoutedService[];
  readonly workers: () => readonly RoutedWorker[];
  /**
   * Workers that a service's load keeps busy.
   *
   * @param first What is reckoned with until there was any load.
   */
  readonly inUse: (service: RoutedService, first: number) => DemandLevel;
  /** The fence for a call that may take so many milliseconds; undefined where this instance may not make it. */
  readonly fence: (callTime: number) => number | undefined;
  readonly holder: string;
  readonly log: (step: string, fields: Record<string, string | number>) => void;
}

/** The task that orders workers while this instance has the duty. */
export interface MixTask {
  start(): void;
  /** Workers have come or begun to leave: the next plan is made soon. */
  workersChanged(): void;
  close(): void;
}

/** Milliseconds between two plans. */
const PLAN_PERIOD = 500;
/**
 * Milliseconds from a change of the workers to the plan that it asks for: those of a zone that is taken are heard of
 * within a few. Each second that a worker on demand comes sooner after its zone was taken is one of late first tokens
 * less.
 */
const CHANGE_DELAY = 30;
/** Milliseconds after which an order that isn't met is sent again: the market may have workers again. */
const REPEAT_PERIOD = 1_000;
/** How long a market that gave none is taken to be dry, in milliseconds: orders are repeated more often. */
const DRY_TIME = 3_000;
/** How long workers on demand are wanted after the last moment at which they were, in milliseconds. */
const HOLD_TIME = 6_000;
/**
 * How long the workers of a start have to stay the same before they are planned by, in milliseconds: each is in the
 * store within about one of its heartbeats.
 */
const SETTLE_TIME = 1_500;
/** An ordered worker may take so much longer than usual to come, in milliseconds. */
const TAKEOVER_MARGIN = 1_500;

interface Sent {
  readonly count: number;
  readonly at: number;
  readonly outcome: CallOutcome["kind"];
}

/** Makes the task. Orders are absolute, so one that is sent again changes nothing. */
export function createMixTask(parts: MixTaskParts): MixTask {
  const { clock, platform } = parts;
  const sent = new Map<string, Sent>();
  /** By service and zone, until when its market is taken to be dry. */
  const dryUntil = new Map<string, number>();
  /** By service, the workers on demand that were wanted lately. */
  const wished = new Map<string, { onDemand: number; at: number }[]>();
  /** By service, what was there when this instance planned for it first. */
  const firstOf = new Map<string, number>();
  /** By service, what the looks before the first plan gave, and since when they have given the same. */
  const seenFirst = new Map<string, { first: number; since: number }>();
  const losses = createZoneLosses();
  let holderSince: number | undefined;
  let closed = false;
  let wake = (): void => undefined;
  const isClosed = (): boolean => closed;

  /** Says whether the market has shown itself dry: what the plan reckoned with is not to be had. */
  const order = async (
    service: string,
    { zone, purchase, count }: MixOrder,
    { there, inputs }: { there: ReadyCount; inputs: PlanInputs },
  ): Promise<boolean> => {
    const fence = parts.fence(DUTY_CALL_TIME);
    if (fence === undefined) return false;
    let hasRunDry = false;
    const by = { holder: parts.holder, fence };
    const outcome = await platform.orderWorkers({ service, zone, purchase, count }, by);
    const key = keyOf(service, zone, purchase);
    if (purchase === Purchase.Reclaimable) {
      const market = `${service} ${zone}`;
      if (outcome.kind === "none-available") {
        hasRunDry = (dryUntil.get(market) ?? 0) <= clock.now();
        dryUntil.set(market, clock.now() + DRY_TIME);
      } else if (outcome.kind === "accepted" && count > there(zone, purchase))
        dryUntil.delete(market);
    }
    const before = sent.get(key);
    sent.set(key, { count, at: clock.now(), outcome: outcome.kind });
    if (before?.count !== count || before.outcome !== outcome.kind) {
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
    return hasRunDry;
  };
  const isDue = (service: string, there: ReadyCount, wanted: MixOrder): boolean => {
    const before = sent.get(keyOf(service, wanted.zone, wanted.purchase));
    if (before?.count !== wanted.count) return true;
    const isThere = there(wanted.zone, wanted.purchase) === wanted.count;
    const isMet = before.outcome === "accepted" && isThere;
    return !isMet && clock.now() - before.at >= REPEAT_PERIOD;
  };
  /** Plans and orders; says whether a market has shown itself dry that wasn't known to be. */
  const plan = async (service: RoutedService): Promise<boolean> => {
    const { scaling, name } = service;
    if (scaling === undefined) return false;
    const there = readyIn(parts.workers(), service);
    const now = clock.now();
    const stock = [...scaling.zonePrices.keys()].map((zone) => ({
      zone,
      reclaimable: there(zone, Purchase.Reclaimable),
      ordered:
        sent.get(keyOf(name, zone, Purchase.OnDemand))?.count ?? there(zone, Purchase.OnDemand),
      isDry: now < (dryUntil.get(`${name} ${zone}`) ?? 0),
    }));
    const lossGap = losses.observe(name, { stock, now });
    const wishes = (wished.get(name) ?? []).filter(({ at }) => now - at < HOLD_TIME);
    const held = Math.max(0, ...wishes.map(({ onDemand }) => onDemand));
    const counts = (purchase: Purchase): number =>
      sum([...scaling.zonePrices.keys()].map((zone) => there(zone, purchase)));
    const first = firstInUse(scaling, {
      reclaimable: counts(Purchase.Reclaimable),
      onDemand: counts(Purchase.OnDemand),
    });
    const inUse = parts.inUse(service, firstOf.get(name) ?? first);
    if (!firstOf.has(name)) {
      // Workers enter the store one after the other when a deployment starts: planned by the first few, most would
      // be sent away and too few ordered.
      const before = seenFirst.get(name);
      const seen = before?.first === first ? before : { first, since: now };
      seenFirst.set(name, seen);
      if (!inUse.hasBegun && now - seen.since < SETTLE_TIME) return false;
      firstOf.set(name, first);
    }
    const since = (holderSince ??= now);
    const { orders, onDemand } = planMix({ scaling, stock, inUse, held, lossGap });
    wished.set(name, [...wishes, { onDemand, at: now }]);
    const inputs = {
      inUse: inUse.now,
      inUseLately: inUse.lately,
      readingLately: inUse.reading,
      held,
      ready: counts(Purchase.Reclaimable) + counts(Purchase.OnDemand),
      dry: stock.filter(({ isDry }) => isDry).length,
    };
    // What the holder before ordered and isn't there yet can't be seen: until it would be, nothing is given back.
    const isNew = inUse.hasBegun && now - since < scaling.startUp + TAKEOVER_MARGIN;
    let hasRunDry = false;
    for (const wanted of orders) {
      const isLess = wanted.count <= there(wanted.zone, wanted.purchase);
      if (isNew && isLess && wanted.purchase === Purchase.OnDemand) continue;
      if (!isDue(name, there, wanted)) continue;
      const ranDry = await order(name, wanted, { there, inputs });
      hasRunDry ||= ranDry;
    }
    return hasRunDry;
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      if (parts.fence(DUTY_CALL_TIME) === undefined) {
        sent.clear();
        firstOf.clear();
        seenFirst.clear();
        holderSince = undefined;
      } else for (const service of parts.services()) await planTwice(service);
      await pause();
    }
  };
  /** Plans once more at once where the plan's own orders have shown that a market is dry. */
  const planTwice = async (service: RoutedService): Promise<void> => {
    if (await plan(service)) await plan(service);
  };
  const pause = (): Promise<void> =>
    new Promise((resolve) => {
      let timer = clock.after(PLAN_PERIOD, resolve);
      wake = () => {
        timer.close();
        timer = clock.after(CHANGE_DELAY, resolve);
        wake = () => undefined;
      };
    });
  return {
    start: () => void run(),
    workersChanged: () => wake(),
    close: () => {
      closed = true;
    },
  };
}

/** What decided an order, for the log: workers, but for the dry zones. */
interface PlanInputs {
  readonly inUse: number;
  readonly inUseLately: number;
  readonly readingLately: number;
  readonly held: number;
  readonly ready: number;
  readonly dry: number;
}

/** Workers that take requests, by zone and purchase. */
type ReadyCount = (zone: string, purchase: Purchase) => number;

function readyIn(workers: readonly RoutedWorker[], service: RoutedService): ReadyCount {
  const there = workers.filter((worker) => worker.service === service.name && !worker.isLeaving);
  return (zone, purchase) =>
    there.filter((worker) => worker.zone === zone && worker.purchase === purchase).length;
}

function keyOf(service: string, zone: string, purchase: Purchase): string {
  return `${service} ${zone} ${purchase}`;
}
