import { expect, test } from "vitest";
import { formatRevision } from "../version/index.ts";
import { MINIMAL_DOCUMENT } from "../version/testing/minimal_revision.ts";
import { startCoreFleet } from "./testing/core_fleet.ts";
import type { Answer, CoreFleet } from "./testing/core_fleet.ts";

const SCRIPT = { body: '{"max_tokens":500}' };
const SCRIPT_TIME = 500 * 20;

function wholeAnswer(tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => `t${index} `).join("");
}

test("a planned stop finishes a long script and refuses new requests immediately", async () => {
  // An operator drains an instance during a long response. If cut off, the response would have to start over; a newly
  // accepted request would delay the stop.
  const fleet = await startCoreFleet();
  const script = fleet.submit(0, SCRIPT);
  await fleet.clock.advance(200);
  let stopped = false;
  void fleet
    .core(0)
    .drain()
    .then(() => (stopped = true));
  const refused = fleet.submit(0);
  const elsewhere = fleet.submit(1);
  await fleet.clock.advance(3_000);
  expect(stopped).toBe(false);
  expect(refused.end).toBe("draining");
  expect(elsewhere.end).toBe("complete");
  await fleet.clock.advance(SCRIPT_TIME);
  expect([script.end, stopped]).toEqual(["complete", true]);
  expect(script.text).toBe(wholeAnswer(500));
  expect(fleet.engines.runs.filter((run) => run.resumedFrom > 0)).toEqual([]);
  fleet.close();
});

test("a second stop signal does not cut off requests that the first one waits for", async () => {
  // Some service managers send SIGTERM again if the first one takes long.
  const fleet = await startCoreFleet();
  const script = fleet.submit(0, SCRIPT);
  await fleet.clock.advance(200);
  const first = fleet.core(0).drain();
  await fleet.clock.advance(1_000);
  const second = fleet.core(0).drain();
  await fleet.clock.advance(SCRIPT_TIME + 3_000);
  await Promise.all([first, second]);
  expect([script.end, script.text]).toEqual(["complete", wholeAnswer(500)]);
  fleet.close();
});

test("a reclaim during a planned stop hands over immediately, even if the store is down", async () => {
  // While the instance waits for its last response, the cloud announces a reclaim within seconds, and the store doesn't
  // accept writes. The response must continue at the backup from its current position.
  const fleet = await startCoreFleet();
  const script = fleet.submit(1, { ...SCRIPT, key: "reel" });
  await fleet.clock.advance(200);
  const owner = [0, 1, 2].find((index) => fleet.core(index).requests.inProgress() > 0) ?? 0;
  // The caller is connected to instance 1. Its key must belong to another one, which is killed below.
  const response = owner === 1 ? undefined : script;
  void fleet.core(owner).drain();
  await fleet.clock.advance(100);
  fleet.store.setUnavailable(true);
  const handedOver = fleet.core(owner).reclaim(5_000);
  await fleet.clock.advance(4_000);
  await handedOver;
  fleet.kill(owner);
  await fleet.clock.advance(SCRIPT_TIME);
  expect(response?.end).toBe("complete");
  expect(response?.text).toBe(wholeAnswer(500));
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a rolling replacement of the whole fleet loses no response", async () => {
  // During the rollout of a new version, each instance in turn is drained and stopped while responses are in progress.
  const fleet = await startCoreFleet(4);
  const scripts = [];
  for (const index of [0, 1, 2]) {
    scripts.push(fleet.submit(index, SCRIPT), fleet.submit(3, { ...SCRIPT, key: `k${index}` }));
    await fleet.clock.advance(500);
    const stopped = fleet.core(index).drain();
    await fleet.clock.advance(SCRIPT_TIME + 5_000);
    await stopped;
    fleet.kill(index);
  }
  expect(new Set(scripts.map((script) => script.end))).toEqual(new Set(["complete"]));
  expect(new Set(scripts.map((script) => script.text))).toEqual(new Set([wholeAnswer(500)]));
  fleet.close();
});

// The next instance stops before the slots of the previous one have another holder, and new keys are refused forever.
test.each([0, 1_000, 4_000])(
  "instances replaced in turn, %i ms apart, lose no slot's history",
  async (pause) => {
    const fleet = await startCoreFleet(3);
    const answers = await submitEntries(fleet, "before");
    for (const index of [0, 1, 2]) {
      answers.push(...(await submitUntilDrained(fleet, index)));
      fleet.kill(index);
      fleet.restart(index);
      await fleet.clock.advance(pause);
    }
    await fleet.clock.advance(10_000);
    const { slots } = fleet.core(0).configuration.slotMap();
    expect(slots.filter(({ historyLostAt }) => historyLostAt !== 0)).toEqual([]);
    answers.push(...(await submitEntries(fleet, "after")));
    expect(answers.filter(({ end }) => end !== "complete")).toEqual([]);
    fleet.close();
  },
);

test("a planned stop ends although the store is unavailable", async () => {
  const fleet = await startCoreFleet();
  fleet.store.setUnavailable(true);
  let stopped = false;
  void fleet
    .core(0)
    .drain()
    .then(() => (stopped = true));
  await fleet.clock.advance(12_000);
  expect(stopped).toBe(true);
  fleet.close();
});

/** Submits a request with a key that may not be repeated. */
function submitEntry(fleet: CoreFleet, index: number, key: string): Answer {
  return fleet.submit(index, { key, repeatable: false, body: '{"max_tokens":2}' });
}

/** Submits requests to all instances in turn, and waits for their ends. */
async function submitEntries(fleet: CoreFleet, prefix: string): Promise<Answer[]> {
  const answers: Answer[] = [];
  for (let count = 0; count < 300; count++) {
    answers.push(submitEntry(fleet, count % 3, `${prefix}-${count}`));
    await fleet.clock.advance(20);
  }
  await fleet.clock.advance(1_000);
  return answers;
}

/** Drains an instance, and submits requests to the next one until its process may exit. */
async function submitUntilDrained(fleet: CoreFleet, index: number): Promise<Answer[]> {
  let isDrained = false;
  void fleet
    .core(index)
    .drain()
    .then(() => (isDrained = true));
  const answers: Answer[] = [];
  const mustContinue = (): boolean => !isDrained;
  for (let count = 0; mustContinue(); count++) {
    answers.push(submitEntry(fleet, (index + 1) % 3, `while-${index}-${count}`));
    await fleet.clock.advance(20);
  }
  return answers;
}

test("a maintenance preset finishes running scripts and refuses new requests of the service", async () => {
  // After an operator switches to maintenance, running responses must finish; a newly accepted one would be cut off
  // when the servers stop.
  const fleet = await startCoreFleet();
  const script = fleet.submit(0, SCRIPT);
  await fleet.clock.advance(200);
  await fleet.writeRevision(MAINTENANCE);
  await fleet.clock.advance(5_000);
  const refused = [0, 1, 2].map((index) => fleet.submit(index));
  await fleet.clock.advance(SCRIPT_TIME);
  expect(refused.map(({ end }) => end)).toEqual(["draining", "draining", "draining"]);
  expect([script.end, script.text]).toEqual(["complete", wholeAnswer(500)]);
  fleet.close();
});

const MAINTENANCE = formatRevision({
  source: {
    ...MINIMAL_DOCUMENT,
    presets: {
      maintenance: { about: "A planned stop.", services: {}, paused: ["desk"] },
    },
  },
  preset: "maintenance",
  changes: [],
});
