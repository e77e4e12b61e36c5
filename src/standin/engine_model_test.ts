import { expect, test } from "vitest";
import { createEngineModel, fullBatchSize } from "./engine_model.ts";
import type { EngineModel, EngineModelEvent, EngineRequest } from "./engine_model.ts";

const CAPACITY = { tokensPerSecond: 1_000, prefillPerSecond: 8_000, cacheTokens: 20_000 };
const FULL_BATCH = fullBatchSize(CAPACITY);

function requestOf(id: string, fields: Partial<EngineRequest> = {}): EngineRequest {
  const defaults = { prefix: [], resumedTokens: 0, importedTokens: 0, priority: 0 };
  return { id, promptTokens: 100, answerTokens: 10, ...defaults, ...fields };
}

function runToEnd(engine: EngineModel): EngineModelEvent[] {
  const events: EngineModelEvent[] = [];
  for (let at = engine.nextEventAt(); at !== undefined; at = engine.nextEventAt()) {
    events.push(...engine.advanceTo(at));
  }
  return events;
}

function endTimeOf(events: readonly EngineModelEvent[], id: string): number {
  return events.find((event) => event.kind === "finished" && event.id === id)?.at ?? Infinity;
}

function computedTokensOf(events: readonly EngineModelEvent[], id: string): number[] {
  return events.flatMap((event) =>
    event.kind === "started" && event.id === id ? [event.computed] : [],
  );
}

test("a full batch generates the machine class's tokens per second", () => {
  const engine = createEngineModel(CAPACITY);
  for (let index = 0; index < FULL_BATCH; index++) {
    engine.submit(requestOf(`r${index}`, { promptTokens: 1, answerTokens: 200 }), 0);
  }
  const events = runToEnd(engine);
  const rate = (FULL_BATCH * 200 * 1_000) / endTimeOf(events, "r0");
  expect(rate).toBeGreaterThan(0.95 * CAPACITY.tokensPerSecond);
  expect(rate).toBeLessThan(1.05 * CAPACITY.tokensPerSecond);
});

test("a single request is answered faster than one in a full batch", () => {
  const engine = createEngineModel(CAPACITY);
  engine.submit(requestOf("alone"), 0);
  const alone = endTimeOf(runToEnd(engine), "alone");
  const busy = createEngineModel(CAPACITY);
  for (let index = 0; index < FULL_BATCH; index++) busy.submit(requestOf(`r${index}`), 0);
  expect(endTimeOf(runToEnd(busy), "r0")).toBeGreaterThan(1.3 * alone);
});

test("the cached prefix of a prompt is not computed again", () => {
  const engine = createEngineModel(CAPACITY);
  const prefix = ["a", "b"];
  engine.submit(requestOf("first", { prefix, promptTokens: 200 }), 0);
  const first = runToEnd(engine);
  engine.submit(requestOf("second", { prefix: [...prefix, "c"], promptTokens: 200 }), 10_000);
  const second = runToEnd(engine);
  expect(computedTokensOf(first, "first")).toEqual([200]);
  expect(computedTokensOf(second, "second")).toEqual([200 - 2 * 64]);
});

test("the least recently used prefix blocks are evicted when the KV cache is full", () => {
  const engine = createEngineModel({ ...CAPACITY, cacheTokens: 1_000 });
  engine.submit(requestOf("old", { prefix: ["a"], promptTokens: 64 }), 0);
  runToEnd(engine);
  engine.submit(requestOf("big", { promptTokens: 950 }), 10_000);
  const evicted = runToEnd(engine).find((event) => event.kind === "evicted");
  expect(evicted).toMatchObject({ blocks: ["a"] });
});

test("a resumed request computes its tokens again, one with an imported KV cache doesn't", () => {
  const engine = createEngineModel(CAPACITY);
  engine.submit(requestOf("resumed", { resumedTokens: 5 }), 0);
  const resumed = runToEnd(engine);
  engine.submit(requestOf("imported", { resumedTokens: 5, importedTokens: 105 }), 10_000);
  const imported = runToEnd(engine);
  expect(computedTokensOf(resumed, "resumed")).toEqual([105]);
  expect(computedTokensOf(imported, "imported")).toEqual([1]);
  const indexes = resumed.flatMap((event) => (event.kind === "token" ? [event.index] : []));
  expect(indexes).toEqual([5, 6, 7, 8, 9]);
});

test("a request with a higher priority starts before earlier ones", () => {
  const engine = createEngineModel(CAPACITY);
  for (let index = 0; index < 2 * FULL_BATCH; index++) engine.submit(requestOf(`r${index}`), 0);
  engine.submit(requestOf("urgent", { priority: 1 }), 0);
  const events = runToEnd(engine);
  expect(endTimeOf(events, "urgent")).toBeLessThan(endTimeOf(events, `r${2 * FULL_BATCH - 1}`));
});

test("if answers outgrow the KV cache, the last request is preempted, and all requests finish", () => {
  const engine = createEngineModel({ ...CAPACITY, cacheTokens: 400 });
  for (const id of ["r0", "r1", "r2"]) engine.submit(requestOf(id, { answerTokens: 150 }), 0);
  const events = runToEnd(engine);
  expect(events.some((event) => event.kind === "preempted")).toBe(true);
  for (const id of ["r0", "r1", "r2"]) expect(endTimeOf(events, id)).toBeLessThan(Infinity);
  expect(computedTokensOf(events, "r2").length).toBeGreaterThan(1);
});

test("a request that exceeds the KV cache is rejected", () => {
  const engine = createEngineModel(CAPACITY);
  expect(engine.submit(requestOf("huge", { promptTokens: 20_000 }), 0)).toBe(false);
});

test("a cancelled request produces no more tokens and frees its KV cache", () => {
  const engine = createEngineModel(CAPACITY);
  engine.submit(requestOf("r0", { answerTokens: 1_000 }), 0);
  engine.advanceTo(200);
  engine.cancel("r0", 200);
  expect(runToEnd(engine)).toEqual([]);
  expect(engine.load()).toMatchObject({ running: 0, cacheTokens: 0 });
});

test("a slowdown multiplies the engine's time by its factor", () => {
  const engine = createEngineModel(CAPACITY);
  engine.submit(requestOf("r0"), 0);
  const normalEnd = endTimeOf(runToEnd(engine), "r0");
  const slowed = createEngineModel(CAPACITY);
  slowed.setSlowdown(3);
  slowed.submit(requestOf("r0"), 0);
  expect(endTimeOf(runToEnd(slowed), "r0")).toBeCloseTo(3 * normalEnd);
});
