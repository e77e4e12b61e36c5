import { Purchase, WorkerState } from "../../interface/index.ts";
import type { EventQueue } from "./event_queue.ts";
import type { FleetControl } from "./fleet_control.ts";
import type { GroupMeasurements, Measurements } from "./measurements.ts";

/** What stands at a moment of a replay, for a plot. */
export interface Sample {
  /** Milliseconds. */
  readonly at: number;
  /** Workers that take work, by how they are paid for. */
  readonly reclaimable: number;
  readonly onDemand: number;
  /** Euros so far. */
  readonly cost: number;
  /** 95th percentile of the time to the first token since the last sample, by `SERVICE/LANE`. */
  readonly firstToken: Readonly<Record<string, number>>;
}

const SAMPLE_INTERVAL = 10_000;
const PERCENTILE = 0.95;

/** Takes samples at a steady interval from now on. */
export function takeSamples(options: {
  readonly fleet: FleetControl;
  readonly measurements: Measurements;
  readonly events: EventQueue;
  readonly sample: (sample: Sample) => void;
}): void {
  const { fleet, measurements, events, sample } = options;
  const live = fleet.workers().filter(({ state }) => state === WorkerState.Live);
  const countByPurchase = (purchase: Purchase): number =>
    live.filter((worker) => worker.purchase === purchase).length;
  const groups = [...measurements.groups].map(([name, group]) => [
    name,
    takeRecentPercentile(group),
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

function takeRecentPercentile(group: GroupMeasurements): number {
  const sorted = group.recentFirstTokens.sort((a, b) => a - b);
  group.recentFirstTokens = [];
  return sorted[Math.floor(PERCENTILE * sorted.length)] ?? 0;
}
