import { expect, test } from "vitest";
import { planModelLoads } from "./loads.ts";
import type { ModelLoadsView, ModelDemand } from "./loads.ts";
import { someWorkers } from "./testing/load_play.ts";

function demandFor(model: string, arriving: number): ModelDemand {
  return { model, arriving, waiting: 0, weights: 1_000 };
}

function someView(changes: Partial<ModelLoadsView>): ModelLoadsView {
  const workers = someWorkers(8);
  const loadedModels = new Map(workers.map(({ id }) => [id, ["old", "idle"]]));
  const rates = { modelsPerWorker: 2, weightStoreRate: 1_000, activeLoads: 0 };
  return { now: 0, workers, loadedModels, demand: [], ...rates, ...changes };
}

function holders(view: ModelLoadsView, model: string): number {
  return planModelLoads(view).filter(({ models }) => models.includes(model)).length;
}

test("the workers per model follow demand, at least two per model, and models without demand are dropped", () => {
  // Demand moves to another adapter in the morning. If it were loaded by the first request, each
  // worker would keep a caller waiting for the load.
  const demand = [demandFor("new", 700), demandFor("old", 250), demandFor("rare", 10)];
  const view = someView({ demand });
  expect(holders(view, "new")).toBe(6);
  expect(holders(view, "rare")).toBe(2);
  expect(holders(view, "old")).toBeGreaterThanOrEqual(2);
  expect(planModelLoads(view).every(({ models }) => models.length <= 2)).toBe(true);
});

test("starts no more loads at once than the weight store can serve in a minute", () => {
  // If all workers load at once, each gets an eighth of the rate and none is ready for minutes.
  const view = someView({ demand: [demandFor("new", 700)], weightStoreRate: 40, activeLoads: 0 });
  expect(holders(view, "new")).toBe(3);
  expect(holders({ ...view, activeLoads: 3 }, "new")).toBe(0);
});

test("changes nothing while the loaded models serve the demand", () => {
  const view = someView({ demand: [demandFor("old", 500)] });
  expect(planModelLoads(view).every(({ models }) => models.join() === "old,idle")).toBe(true);
});
