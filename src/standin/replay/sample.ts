import { Purchase, WorkerState } from "../../interface/index.ts";
import type { EventQueue } from "./event_queue.ts";
import type { FleetControl } from "./fleet_control.ts";
import type { GroupMeasurements, Measurements } from "./measurements.ts";

/** State of a replay at one time, for a plot. */
export interface Sample {
  /** Time in milliseconds. */
  readonly at: number;
  /** Live reclaimable workers. */
  readonly reclaimable: number;
  /** Live on-demand workers. */
  readonly onDemand: number;
  /** Cost so far in euros. */
  readonly cost: number;
  /**
   * 95th percentile in milliseconds of the time to first token since the previous sample, by
   * `SERVICE/LANE`.
   */
  readonly firstToken: Readonly<Record<string, number>>;
}

/** Milliseconds between two samples. */
const SAMPLE_INTERVAL = 10_000;
const PERCENTILE = 0.95;

/** Takes a sample at once, and another one after every {@linkcode SAMPLE_INTERVAL}. */
export function takeSamples(options: {
  readonly fleet: FleetControl;
  readonly measurements: Measurements;
  readonly events: EventQueue;
  readonly sample: (sample: Sample) => void;
}): void {
  const { fleet, measurements, events, sample } = options;
  const liveWorkers = fleet.workers().filter(({ state }) => state === WorkerState.Live);
  const countByPurchase = (purchase: Purchase): number =>
    liveWorkers.filter((worker) => worker.purchase === purchase).length;
  const groups = [...measurements.groups].map(([name, group]) => [
    name,
    takeRecentFirstTokenPercentile(group),
  ]);
  sample({
    at: events.now(),
    reclaimable: countByPurchase(Purchase.Reclaimable),
    onDemand: countByPurchase(Purchase.OnDemand),
    cost: [...fleet.costByService().values()].reduce((a, b) => a + b, 0),
    firstToken: Object.fromEntries(groups) as Record<string, number>,
  });
  events.add(events.now() + SAMPLE_INTERVAL, () => takeSamples(options));
}

function takeRecentFirstTokenPercentile(group: GroupMeasurements): number {
  const sorted = group.recentFirstTokens.sort((a, b) => a - b);
  group.recentFirstTokens = [];
  return sorted[Math.floor(PERCENTILE * sorted.length)] ?? 0;
}
