import { describe, expect, test } from "vitest";
import { Purchase, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { planFleet } from "./fleet.ts";
import type { FleetPlan, FleetView, Pool, ServiceDemand } from "./fleet_view.ts";

const ZONES = ["a", "b", "c", "d"];
const SPEED = 225;

function somePools(
  changes: (zone: string, purchase: Purchase) => Partial<Pool> = () => ({}),
): Pool[] {
  return ZONES.flatMap((zone, index) =>
    [Purchase.Reclaimable, Purchase.OnDemand].map((purchase) => ({
      zone,
      machineClass: "standard",
      purchase,
      price: purchase === Purchase.Reclaimable ? 0.7 + index / 10 : 2.4,
      tokensPerSecond: SPEED,
      startUp: 45_000,
      refusals: 0,
      ...changes(zone, purchase),
    })),
  );
}

function someDemand(arrivalRate: number, changes: Partial<ServiceDemand> = {}): ServiceDemand {
  return {
    service: "desk",
    arrivalRate,
    previousArrivalRate: arrivalRate,
    waitingWork: 0,
    workInProgress: {},
    workers: [],
    minWorkers: 2,
    maxWorkers: 20,
    maxReclaimableShare: 1,
    firstTokenTarget: 1_600,
    ...changes,
  };
}

function someView(demand: ServiceDemand, changes: Partial<FleetView> = {}): FleetView {
  const base = { now: 0, services: [demand], pools: somePools(), zones: ZONES, launching: [] };
  return { ...base, plannerState: undefined, ...changes };
}

function launched(plan: FleetPlan): Worker[] {
  return plan.launches.map(({ service, pool }, index) => ({
    id: `w${index}`,
    address: "",
    service,
    zone: pool.zone,
    machineClass: pool.machineClass,
    purchase: pool.purchase,
    state: WorkerState.Live,
  }));
}

function countOf(workers: readonly Worker[], zone: string): number {
  return workers.filter((worker) => worker.zone === zone).length;
}

/** Plans every five seconds; returns the first plan that retires a worker, with its time. */
function firstRetirement(
  demand: ServiceDemand,
  until: number,
): { at: number; plan: FleetPlan } | undefined {
  let { plannerState } = planFleet(someView(demand));
  for (let now = 5_000; now <= until; now += 5_000) {
    const plan = planFleet(someView(demand, { now, plannerState }));
    if (plan.retire.length > 0) return { at: now, plan };
    plannerState = plan.plannerState;
  }
  return undefined;
}

describe("fleet", () => {
  test("enough capacity is left when the zone with the most workers is reclaimed at once", () => {
    // All reclaimable instances of a zone are reclaimed within seconds. The rest must do nine
    // tenths of the work; otherwise every first token is late until new workers have started.
    const workers = launched(planFleet(someView(someDemand(1_500))));
    const fullest = Math.max(...ZONES.map((zone) => countOf(workers, zone)));
    expect((workers.length - fullest) * SPEED).toBeGreaterThanOrEqual(1_350);
    expect(workers.length).toBeLessThanOrEqual(10);
    expect(workers.every(({ purchase }) => purchase === Purchase.Reclaimable)).toBe(true);
  });

  test("skips a pool that refuses launches and uses others", () => {
    // The cheapest zone refuses launches for minutes. If it were tried again and again, the fleet
    // would stay too small although other zones have capacity.
    const refusing = somePools((zone) => (zone === "a" ? { refusals: 3, refusedAt: 0 } : {}));
    const demand = someDemand(900);
    const soon = launched(planFleet(someView(demand, { now: 30_000, pools: refusing })));
    expect(countOf(soon, "a")).toBe(0);
    expect(soon.length).toBeGreaterThanOrEqual(5);
    const later = launched(planFleet(someView(demand, { now: 41_000, pools: refusing })));
    expect(countOf(later, "a")).toBeGreaterThan(0);
  });

  test("launches no reclaimable worker in a zone that is being reclaimed", () => {
    const reclaimNotice = { state: WorkerState.Leaving, reclaimAt: 10_000 };
    const [first] = launched(planFleet(someView(someDemand(100))));
    if (first === undefined) throw new Error("Nothing was launched.");
    const leaving = { ...first, zone: "a", ...reclaimNotice };
    const plan = planFleet(someView(someDemand(900, { workers: [leaving] })));
    expect(countOf(launched(plan), "a")).toBe(0);
  });

  test("keeps to the preset's share of reclaimable workers", () => {
    const workers = launched(planFleet(someView(someDemand(1_500, { maxReclaimableShare: 0.5 }))));
    const reclaimable = workers.filter(({ purchase }) => purchase === Purchase.Reclaimable).length;
    expect(reclaimable / workers.length).toBeLessThanOrEqual(0.55);
  });

  test("starts no more loads than the weight store can serve", () => {
    // If ten workers load 16 GB each from a store of 2 GB/s at once, all are ready after 80 s
    // instead of the first after 8 s.
    const demand = someDemand(2_000, { weightBytes: 16_000_000_000 });
    const plan = planFleet(someView(demand, { weightStoreRate: 1_000_000_000 }));
    expect(plan.launches).toHaveLength(2);
  });

  test("a dip of a minute retires no worker, an hour of lower demand does, the most expensive first", () => {
    // A worker that is retired in a dip is launched again at the next rise, and its start-up is
    // paid for twice.
    const workers = launched(planFleet(someView(someDemand(1_500))));
    const [cheapest] = workers;
    if (cheapest === undefined) throw new Error("Nothing was launched.");
    const expensive = { ...cheapest, id: "expensive", purchase: Purchase.OnDemand };
    const demand = someDemand(300, { workers: [...workers, expensive] });
    const found = firstRetirement(demand, 3_600_000);
    expect(found?.at).toBeGreaterThanOrEqual(60_000);
    expect(found?.plan.retire).toEqual(["expensive"]);
  });

  test("a smaller preset is reached gradually, with enough workers for the work in progress", () => {
    // The maintenance preset allows four workers; ten are busy. If they were stopped at once, their
    // scripts would be cut off.
    const workers = launched(planFleet(someView(someDemand(1_800))));
    const workInProgress = Object.fromEntries(workers.map(({ id }) => [id, 5_000]));
    const smaller = { workers, minWorkers: 0, maxWorkers: 4, workInProgress };
    const found = firstRetirement(someDemand(0, smaller), 600_000);
    expect(found?.plan.retire).toHaveLength(1);
    const fewerWorkers = workers.slice(0, 4);
    expect(
      firstRetirement(
        someDemand(0, { ...smaller, workers: fewerWorkers, waitingWork: 60_000 }),
        600_000,
      ),
    ).toBe(undefined);
  });

  test("noise changes nothing, a rise launches workers at once", () => {
    // The demand of a minute is off by 17 in 100 by chance. A fleet that follows it pays for a
    // start-up at each change.
    const workers = launched(planFleet(someView(someDemand(1_000))));
    let { plannerState } = planFleet(someView(someDemand(1_000, { workers })));
    for (let now = 5_000; now < 600_000; now += 5_000) {
      const arriving = 1_000 * (1 + 0.15 * Math.sin(now / 10_000));
      const plan = planFleet(someView(someDemand(arriving, { workers }), { now, plannerState }));
      expect([...plan.launches, ...plan.retire]).toEqual([]);
      plannerState = plan.plannerState;
    }
    const rise = someDemand(1_800, { previousArrivalRate: 1_000, workers });
    const plan = planFleet(someView(rise, { now: 605_000, plannerState }));
    expect(plan.launches.length).toBeGreaterThanOrEqual(4);
  });
});
