import { planMix } from "../decision/index.ts";
import type { MixOrder, ZoneStock } from "../decision/index.ts";
import { Purchase, sleep } from "../interface/index.ts";
import type { CallOutcome, Clock, Platform, RoutedWorker } from "../interface/index.ts";
import type { RoutedService } from "../version/index.ts";

/** What the task is made with. */
export interface MixTaskParts {
  readonly clock: Clock;
  readonly platform: Platform;
  readonly services: () => readonly RoutedService[];
  readonly workers: () => readonly RoutedWorker[];
  /** Workers that a service's load keeps busy; undefined until there was any load. */
  readonly inUse: (service: RoutedService) => number | undefined;
  /** The fence for a call that may take so many milliseconds; undefined where this instance may not make it. */
  readonly fence: (callTime: number) => number | undefined;
  readonly holder: string;
  readonly log: (step: string, fields: Record<string, string | number>) => void;
}

/** The task that orders workers while this instance has the duty. */
export interface MixTask {
  start(): void;
  close(): void;
}

/** Milliseconds between two plans. */
const PLAN_PERIOD = 500;
/** Milliseconds after which an order that isn't met is sent again: the market may have workers again. */
const REPEAT_PERIOD = 1_000;
/** Milliseconds that an order may take. */
export const ORDER_CALL_TIME = 1_000;

interface Sent {
  readonly count: number;
  readonly at: number;
  readonly outcome: CallOutcome["kind"];
}

/** Makes the task. Orders are absolute, so one that is sent again changes nothing. */
export function createMixTask(parts: MixTaskParts): MixTask {
  const { clock, platform } = parts;
  const sent = new Map<string, Sent>();
  let closed = false;
  const isClosed = (): boolean => closed;

  const order = async (service: string, { zone, purchase, count }: MixOrder): Promise<void> => {
    const fence = parts.fence(ORDER_CALL_TIME);
    if (fence === undefined) return;
    const by = { holder: parts.holder, fence };
    const outcome = await platform.orderWorkers({ service, zone, purchase, count }, by);
    const key = `${service} ${zone} ${purchase}`;
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
      });
    }
  };
  const isDue = (service: string, stock: readonly ZoneStock[], wanted: MixOrder): boolean => {
    const before = sent.get(`${service} ${wanted.zone} ${wanted.purchase}`);
    if (before?.count !== wanted.count) return true;
    const here = stock.find(({ zone }) => zone === wanted.zone);
    const there =
      (wanted.purchase === Purchase.Reclaimable ? here?.reclaimable : here?.onDemand) ?? 0;
    const isMet = before.outcome === "accepted" && there === wanted.count;
    return !isMet && clock.now() - before.at >= REPEAT_PERIOD;
  };
  const plan = async (service: RoutedService): Promise<void> => {
    const { scaling, name } = service;
    if (scaling === undefined) return;
    const stock = stockOf(parts.workers(), service).map((here) => ({
      ...here,
      isDry: sent.get(`${name} ${here.zone} ${Purchase.Reclaimable}`)?.outcome === "none-available",
    }));
    const orders = planMix({ scaling, stock, inUse: parts.inUse(service) });
    for (const wanted of orders) if (isDue(name, stock, wanted)) await order(name, wanted);
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      if (parts.fence(ORDER_CALL_TIME) === undefined) sent.clear();
      else for (const service of parts.services()) await plan(service);
      await sleep(clock, PLAN_PERIOD);
    }
  };
  return {
    start: () => void run(),
    close: () => {
      closed = true;
    },
  };
}

function stockOf(
  workers: readonly RoutedWorker[],
  service: RoutedService,
): Omit<ZoneStock, "isDry">[] {
  const there = workers.filter((worker) => worker.service === service.name && !worker.isLeaving);
  const zones = new Set([
    ...(service.scaling?.zonePrices.keys() ?? []),
    ...there.map(({ zone }) => zone),
  ]);
  return [...zones].map((zone) => {
    const here = there.filter((worker) => worker.zone === zone);
    const reclaimable = here.filter(({ purchase }) => purchase === Purchase.Reclaimable).length;
    return { zone, reclaimable, onDemand: here.length - reclaimable };
  });
}
