import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import { formatRevision, REVISION_KEY } from "../version/index.ts";
import { MINIMAL_DOCUMENT, MINIMAL_REVISION } from "../version/testing/minimal_revision.ts";
import { createOperatorChanges } from "./operator_changes.ts";
import type { OperatorChanges } from "./operator_changes.ts";
import { startControlFleet, writeObject } from "./testing/control_fleet.ts";
import type { ControlFleet, ControlNode } from "./testing/control_fleet.ts";

const IN_FORCE_WITHIN = 5_000;

function presetOf(node: ControlNode): string {
  return node.configuration.revision()?.preset ?? "";
}

function revisionWith(preset: string): string {
  return formatRevision({ source: MINIMAL_DOCUMENT, preset, changes: [] });
}

async function startFleet(count: number, zones = 4): Promise<ControlFleet> {
  const fleet = await startControlFleet({ count, zones, revision: MINIMAL_REVISION });
  await fleet.clock.advance(5_000);
  return fleet;
}

function changesAt(fleet: ControlFleet, node: ControlNode): OperatorChanges {
  return createOperatorChanges({
    clock: fleet.clock,
    random: createSeededRandom(9),
    store: fleet.store.connect(),
    configuration: node.configuration,
  });
}

test("a revision is in force everywhere within 5 s, though few instances watch the store", async () => {
  const fleet = await startFleet(24);
  const before = fleet.store.calls();
  await writeObject(fleet, { key: REVISION_KEY, value: revisionWith("peak") });
  await fleet.clock.advance(IN_FORCE_WITHIN);
  expect(new Set(fleet.nodes.map(presetOf))).toEqual(new Set(["peak"]));
  // Eight watch each of the two objects, renewed every 3 s: no other instance calls the store.
  expect(fleet.store.calls() - before).toBeLessThan(60);
  fleet.close();
});

test("a watch that silently stops delays a revision by no more than 5 s", async () => {
  // Every open watch goes dead without an error, as when a firewall forgets the connections. A preset
  // switch that nobody hears of leaves the finish tent on the small fleet of an ordinary day.
  const fleet = await startFleet(8);
  fleet.store.silenceWatches();
  await writeObject(fleet, { key: REVISION_KEY, value: revisionWith("peak") });
  await fleet.clock.advance(IN_FORCE_WITHIN);
  expect(new Set(fleet.nodes.map(presetOf))).toEqual(new Set(["peak"]));
  fleet.close();
});

test("an accepted preset spreads though the store goes down right after it", async () => {
  // The operator is told that the switch is accepted, and then the store is down for an hour. What was
  // accepted must be in force everywhere all the same, and stay so when the store is back.
  const fleet = await startFleet(12);
  const [first] = fleet.nodes;
  if (first === undefined) throw new Error("The fleet is empty.");
  const changes = changesAt(fleet, first);
  const applying = changes.apply({ kind: "preset", id: "c1", preset: "peak" });
  await fleet.clock.advance(20);
  expect(await applying).toEqual({ kind: "accepted", change: "c1", revision: 2 });
  fleet.store.setDown(true);
  await fleet.clock.advance(IN_FORCE_WITHIN);
  expect(new Set(fleet.nodes.map(presetOf))).toEqual(new Set(["peak"]));
  await fleet.clock.advance(60_000);
  expect(fleet.nodes.some(({ configuration }) => configuration.isCutOff())).toBe(false);
  fleet.store.setDown(false);
  await fleet.clock.advance(60_000);
  expect(new Set(fleet.nodes.map((node) => fleet.versionAt(node)))).toEqual(new Set([2]));
  fleet.close();
});

test("a write whose answer was lost is reported as accepted and made once", async () => {
  // The store applies the switch and the answer is lost on the way. Told that it failed, the operator
  // would switch again, on top of what a colleague has changed meanwhile.
  const fleet = await startFleet(4);
  const [first] = fleet.nodes;
  if (first === undefined) throw new Error("The fleet is empty.");
  const changes = changesAt(fleet, first);
  fleet.store.loseAnswers(1);
  const applying = changes.apply({ kind: "preset", id: "c1", preset: "peak" });
  await fleet.clock.advance(2_000);
  expect(await applying).toEqual({ kind: "accepted", change: "c1", revision: 2 });
  fleet.close();
});

test("a change whose answer was lost before a long outage is not known until it is asked for", async () => {
  // The write is applied, its answer lost, and the store is gone. Neither "accepted" nor "refused" would
  // be true to say; the operator gets the change's id and asks again when the store is back.
  const fleet = await startFleet(4);
  const [first] = fleet.nodes;
  if (first === undefined) throw new Error("The fleet is empty.");
  const changes = changesAt(fleet, first);
  fleet.store.loseAnswers(1);
  const applying = changes.apply({ kind: "preset", id: "c1", preset: "peak" });
  await fleet.clock.advance(4);
  fleet.store.setDown(true);
  await fleet.clock.advance(12_000);
  expect(await applying).toMatchObject({ kind: "unknown", change: "c1" });
  fleet.store.setDown(false);
  const asking = changes.ask("c1");
  await fleet.clock.advance(20);
  expect(await asking).toMatchObject({ kind: "accepted", revision: 2 });
  fleet.close();
});

test("a change that never reached the store is refused, and stays so", async () => {
  const fleet = await startFleet(4);
  const [first] = fleet.nodes;
  if (first === undefined) throw new Error("The fleet is empty.");
  fleet.store.setDown(true);
  const applying = changesAt(fleet, first).apply({ kind: "preset", id: "c1", preset: "peak" });
  await fleet.clock.advance(12_000);
  expect(await applying).toMatchObject({ kind: "refused" });
  fleet.store.setDown(false);
  await fleet.clock.advance(20_000);
  expect(new Set(fleet.nodes.map(presetOf))).toEqual(new Set(["day"]));
  fleet.close();
});

test("two operators at two instances end with one preset and one conflict", async () => {
  // Two operators switch presets at the same moment at two instances. One must win everywhere, and the
  // other must be told so and not find her preset gone a second later.
  const fleet = await startFleet(6);
  const [first, second] = fleet.nodes;
  if (first === undefined || second === undefined) throw new Error("The fleet is too small.");
  const night = { ...MINIMAL_DOCUMENT.presets.day, about: "At night." };
  const presets = { ...MINIMAL_DOCUMENT.presets, night };
  const value = formatRevision({
    source: { ...MINIMAL_DOCUMENT, presets },
    preset: "day",
    changes: [],
  });
  await writeObject(fleet, { key: REVISION_KEY, value });
  await fleet.clock.advance(IN_FORCE_WITHIN);
  const racing = Promise.all([
    changesAt(fleet, first).apply({ kind: "preset", id: "c1", preset: "peak" }),
    changesAt(fleet, second).apply({ kind: "preset", id: "c2", preset: "night" }),
  ]);
  await fleet.clock.advance(IN_FORCE_WITHIN);
  const outcomes = await racing;
  expect(outcomes.map(({ kind }) => kind).sort()).toEqual(["accepted", "conflict"]);
  const won = outcomes[0].kind === "accepted" ? "peak" : "night";
  expect(new Set(fleet.nodes.map(presetOf))).toEqual(new Set([won]));
  fleet.close();
});

test("an instance that starts while the store is down takes the highest version of its peers", async () => {
  // A replacement boots in the middle of an outage. With an old configuration, or none, it would admit
  // requests under a preset that is no longer in force.
  const fleet = await startFleet(6);
  await writeObject(fleet, { key: REVISION_KEY, value: revisionWith("peak") });
  await fleet.clock.advance(IN_FORCE_WITHIN);
  fleet.store.setDown(true);
  const late = fleet.add("e9", { zone: "z1" });
  expect(late.configuration.revision()).toBeUndefined();
  await fleet.clock.advance(10_000);
  expect(presetOf(late)).toBe("peak");
  expect(fleet.versionAt(late)).toBe(2);
  fleet.close();
});

test("an instance that starts alone while the store is down knows nothing and is cut off", async () => {
  const fleet = await startControlFleet({ count: 0, zones: 1, revision: MINIMAL_REVISION });
  fleet.store.setDown(true);
  const alone = fleet.add("e0", { zone: "z0" });
  await fleet.clock.advance(30_000);
  expect(alone.configuration.revision()).toBeUndefined();
  expect(alone.configuration.isCutOff()).toBe(true);
  fleet.store.setDown(false);
  await fleet.clock.advance(10_000);
  expect(presetOf(alone)).toBe("day");
  expect(alone.configuration.isCutOff()).toBe(false);
  fleet.close();
});

test("an instance cut off from everyone says so within seconds, one with the store doesn't", async () => {
  // The network loses one instance. It would go on to take requests under a configuration that the rest
  // has left behind; a caller there must be told to go elsewhere.
  const fleet = await startFleet(4);
  const [lost, ...others] = fleet.nodes;
  for (const { self } of others) fleet.network.setCut("e0#1", self.id, true);
  await fleet.clock.advance(8_000);
  expect(lost?.configuration.isCutOff()).toBe(false);
  fleet.store.setDown(true);
  await fleet.clock.advance(8_000);
  expect(lost?.configuration.isCutOff()).toBe(true);
  expect(others.map(({ configuration }) => configuration.isCutOff())).toEqual([
    false,
    false,
    false,
  ]);
  fleet.close();
});

test("a lower version is never applied, whoever says it", async () => {
  const fleet = await startFleet(2);
  await writeObject(fleet, { key: REVISION_KEY, value: revisionWith("peak") });
  await fleet.clock.advance(IN_FORCE_WITHIN);
  const [node] = fleet.nodes;
  node?.configuration.hear(REVISION_KEY, { version: 1, value: MINIMAL_REVISION });
  expect(fleet.nodes.map(presetOf)).toEqual(["peak", "peak"]);
  fleet.close();
});
