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

function someDemand(arriving: number, changes: Partial<ServiceDemand> = {}): ServiceDemand {
  return {
    service: "desk",
    arriving,
    arrivedBefore: arriving,
    waiting: 0,
    inProgress: {},
    workers: [],
    least: 2,
    most: 20,
    reclaimable: 1,
    firstToken: 1_600,
    ...changes,
  };
}

function someView(demand: ServiceDemand, changes: Partial<FleetView> = {}): FleetView {
  const base = { now: 0, services: [demand], pools: somePools(), zones: ZONES, launching: [] };
  return { ...base, memory: undefined, ...changes };
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

/** Plans every five seconds; returns the first plan that retires, and when. */
function firstRetirement(
  demand: ServiceDemand,
  until: number,
): { at: number; plan: FleetPlan } | undefined {
  let { memory } = planFleet(someView(demand));
  for (let now = 5_000; now <= until; now += 5_000) {
    const plan = planFleet(someView(demand, { now, memory }));
    if (plan.retire.length > 0) return { at: now, plan };
    memory = plan.memory;
  }
  return undefined;
}

describe("fleet", () => {
  test("enough is left when the fullest zone is taken at once", () => {
    // All reclaimable instances of a zone go within seconds. What is left must carry nine tenths of the
    // work, or every first token is late until new workers have started.
    const workers = launched(planFleet(someView(someDemand(1_500))));
    const fullest = Math.max(...ZONES.map((zone) => countOf(workers, zone)));
    expect((workers.length - fullest) * SPEED).toBeGreaterThanOrEqual(1_350);
    expect(workers.length).toBeLessThanOrEqual(10);
    expect(workers.every(({ purchase }) => purchase === Purchase.Reclaimable)).toBe(true);
  });

  test("a pool that refuses is left alone, and others take its part", () => {
    // The cheapest zone refuses launches for minutes. Asked again and again it would keep the fleet too
    // small; the other zones have room.
    const refusing = somePools((zone) => (zone === "a" ? { refusals: 3, refusedAt: 0 } : {}));
    const demand = someDemand(900);
    const soon = launched(planFleet(someView(demand, { now: 30_000, pools: refusing })));
    expect(countOf(soon, "a")).toBe(0);
    expect(soon.length).toBeGreaterThanOrEqual(5);
    const later = launched(planFleet(someView(demand, { now: 41_000, pools: refusing })));
    expect(countOf(later, "a")).toBeGreaterThan(0);
  });

  test("no reclaimable worker is launched into a zone that is being taken", () => {
    const gone = { state: WorkerState.Leaving, reclaimAt: 10_000 };
    const [first] = launched(planFleet(someView(someDemand(100))));
    if (first === undefined) throw new Error("Nothing was launched.");
    const leaving = { ...first, zone: "a", ...gone };
    const plan = planFleet(someView(someDemand(900, { workers: [leaving] })));
    expect(countOf(launched(plan), "a")).toBe(0);
  });

  test("the preset's part of reclaimable workers is kept to", () => {
    const workers = launched(planFleet(someView(someDemand(1_500, { reclaimable: 0.5 }))));
    const reclaimable = workers.filter(({ purchase }) => purchase === Purchase.Reclaimable).length;
    expect(reclaimable / workers.length).toBeLessThanOrEqual(0.55);
  });

  test("loads are begun only as fast as the weight store feeds them", () => {
    // Ten workers that load 16 GB each from a store of 2 GB/s at once are all ready after 80 s instead of
    // the first after 8.
    const demand = someDemand(2_000, { weights: 16_000_000_000 });
    const plan = planFleet(someView(demand, { weightStoreRate: 1_000_000_000 }));
    expect(plan.launches).toHaveLength(2);
  });

  test("a dip of a minute gives nothing back, an hour of less does, the dearest first", () => {
    // A worker that is given back in a dip is launched again at the next rise, and its start-up paid twice.
    const workers = launched(planFleet(someView(someDemand(1_500))));
    const [cheapest] = workers;
    if (cheapest === undefined) throw new Error("Nothing was launched.");
    const dear = { ...cheapest, id: "dear", purchase: Purchase.OnDemand };
    const demand = someDemand(300, { workers: [...workers, dear] });
    const found = firstRetirement(demand, 3_600_000);
    expect(found?.at).toBeGreaterThanOrEqual(60_000);
    expect(found?.plan.retire).toEqual(["dear"]);
  });

  test("a smaller preset is reached by and by, never below what is in progress", () => {
    // Maintenance allows four workers; ten are busy. Stopped at once, their scripts would be cut.
    const workers = launched(planFleet(someView(someDemand(1_800))));
    const inProgress = Object.fromEntries(workers.map(({ id }) => [id, 5_000]));
    const smaller = { workers, least: 0, most: 4, inProgress };
    const found = firstRetirement(someDemand(0, smaller), 600_000);
    expect(found?.plan.retire).toHaveLength(1);
    const crowded = workers.slice(0, 4);
    expect(
      firstRetirement(someDemand(0, { ...smaller, workers: crowded, waiting: 60_000 }), 600_000),
    ).toBe(undefined);
  });

  test("noise doesn't move the fleet, a rise does at once", () => {
    // A minute's demand is 17 in 100 off by chance. A fleet that follows it pays a start-up at each turn.
    const workers = launched(planFleet(someView(someDemand(1_000))));
    let { memory } = planFleet(someView(someDemand(1_000, { workers })));
    for (let now = 5_000; now < 600_000; now += 5_000) {
      const arriving = 1_000 * (1 + 0.15 * Math.sin(now / 10_000));
      const plan = planFleet(someView(someDemand(arriving, { workers }), { now, memory }));
      expect([...plan.launches, ...plan.retire]).toEqual([]);
      memory = plan.memory;
    }
    const rise = someDemand(1_800, { arrivedBefore: 1_000, workers });
    const plan = planFleet(someView(rise, { now: 605_000, memory }));
    expect(plan.launches.length).toBeGreaterThanOrEqual(4);
  });
});
