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

test("a revision is in force everywhere within 5 s although few instances watch the store", async () => {
  const fleet = await startFleet(24);
  const before = fleet.store.calls();
  await writeObject(fleet, { key: REVISION_KEY, value: revisionWith("peak") });
  await fleet.clock.advance(IN_FORCE_WITHIN);
  expect(new Set(fleet.nodes.map(presetOf))).toEqual(new Set(["peak"]));
  // Eight instances watch each of the two objects and renew the watch every 3 s. No other instance
  // calls the store.
  expect(fleet.store.calls() - before).toBeLessThan(60);
  fleet.close();
});

test("a watch that silently stops delays a revision by at most 5 s", async () => {
  // All open watches stop without an error, as when a firewall drops its connection state. An
  // undetected preset switch would leave the service at the capacity of an ordinary day.
  const fleet = await startFleet(8);
  fleet.store.hangOpenWatches();
  await writeObject(fleet, { key: REVISION_KEY, value: revisionWith("peak") });
  await fleet.clock.advance(IN_FORCE_WITHIN);
  expect(new Set(fleet.nodes.map(presetOf))).toEqual(new Set(["peak"]));
  fleet.close();
});

test("an accepted preset spreads although the store goes down right after the write", async () => {
  // The operator's switch is accepted, then the store is down for an hour. The accepted preset must
  // still come into force everywhere, and stay in force when the store returns.
  const fleet = await startFleet(12);
  const [first] = fleet.nodes;
  if (first === undefined) throw new Error("The fleet is empty.");
  const changes = changesAt(fleet, first);
  const applying = changes.apply({ kind: "preset", id: "c1", preset: "peak" });
  await fleet.clock.advance(20);
  expect(await applying).toEqual({ kind: "accepted", change: "c1", revision: 2 });
  fleet.store.setUnavailable(true);
  await fleet.clock.advance(IN_FORCE_WITHIN);
  expect(new Set(fleet.nodes.map(presetOf))).toEqual(new Set(["peak"]));
  await fleet.clock.advance(60_000);
  expect(fleet.nodes.some(({ configuration }) => configuration.isCutOff())).toBe(false);
  fleet.store.setUnavailable(false);
  await fleet.clock.advance(60_000);
  expect(new Set(fleet.nodes.map((node) => fleet.versionAt(node)))).toEqual(new Set([2]));
  fleet.close();
});

test("a write whose response was lost is reported as accepted and applied once", async () => {
  // The store applies the switch, but the response is lost. If it were reported as failed, the
  // operator would repeat it and overwrite a colleague's later change.
  const fleet = await startFleet(4);
  const [first] = fleet.nodes;
  if (first === undefined) throw new Error("The fleet is empty.");
  const changes = changesAt(fleet, first);
  fleet.store.dropResponses(1);
  const applying = changes.apply({ kind: "preset", id: "c1", preset: "peak" });
  await fleet.clock.advance(2_000);
  expect(await applying).toEqual({ kind: "accepted", change: "c1", revision: 2 });
  fleet.close();
});

test("a change whose response was lost before a long outage is unknown until queried again", async () => {
  // The write is applied, its response is lost, and the store goes down. Neither "accepted" nor
  // "refused" would be correct. The operator gets the change id and queries it when the store is
  // back.
  const fleet = await startFleet(4);
  const [first] = fleet.nodes;
  if (first === undefined) throw new Error("The fleet is empty.");
  const changes = changesAt(fleet, first);
  fleet.store.dropResponses(1);
  const applying = changes.apply({ kind: "preset", id: "c1", preset: "peak" });
  await fleet.clock.advance(4);
  fleet.store.setUnavailable(true);
  await fleet.clock.advance(12_000);
  expect(await applying).toMatchObject({ kind: "unknown", change: "c1" });
  fleet.store.setUnavailable(false);
  const asking = changes.getOutcome("c1");
  await fleet.clock.advance(20);
  expect(await asking).toMatchObject({ kind: "accepted", revision: 2 });
  fleet.close();
});

test("a change that never reached the store is refused and is not applied later", async () => {
  const fleet = await startFleet(4);
  const [first] = fleet.nodes;
  if (first === undefined) throw new Error("The fleet is empty.");
  fleet.store.setUnavailable(true);
  const applying = changesAt(fleet, first).apply({ kind: "preset", id: "c1", preset: "peak" });
  await fleet.clock.advance(12_000);
  expect(await applying).toMatchObject({ kind: "refused" });
  fleet.store.setUnavailable(false);
  await fleet.clock.advance(20_000);
  expect(new Set(fleet.nodes.map(presetOf))).toEqual(new Set(["day"]));
  fleet.close();
});

test("concurrent changes on two instances give one accepted preset and one conflict", async () => {
  // Two operators switch presets at the same time on two instances. One preset must win everywhere;
  // the other operator must get a conflict rather than see an accepted preset vanish a second
  // later.
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

test("an instance that starts while the store is down takes its peers' highest version", async () => {
  // A replacement starts during an outage. With an old configuration, or none, it would admit
  // requests under a preset that is no longer in force.
  const fleet = await startFleet(6);
  await writeObject(fleet, { key: REVISION_KEY, value: revisionWith("peak") });
  await fleet.clock.advance(IN_FORCE_WITHIN);
  fleet.store.setUnavailable(true);
  const late = fleet.add("e9", { zone: "z1" });
  expect(late.configuration.revision()).toBeUndefined();
  await fleet.clock.advance(10_000);
  expect(presetOf(late)).toBe("peak");
  expect(fleet.versionAt(late)).toBe(2);
  fleet.close();
});

test("an instance that starts alone while the store is down has no revision and is cut off", async () => {
  const fleet = await startControlFleet({ count: 0, zones: 1, revision: MINIMAL_REVISION });
  fleet.store.setUnavailable(true);
  const alone = fleet.add("e0", { zone: "z0" });
  await fleet.clock.advance(30_000);
  expect(alone.configuration.revision()).toBeUndefined();
  expect(alone.configuration.isCutOff()).toBe(true);
  fleet.store.setUnavailable(false);
  await fleet.clock.advance(10_000);
  expect(presetOf(alone)).toBe("day");
  expect(alone.configuration.isCutOff()).toBe(false);
  fleet.close();
});

test("an instance that reaches neither peers nor the store reports within seconds that it is cut off", async () => {
  // The network isolates one instance. It would keep accepting requests under an outdated
  // configuration; its callers must be sent to another instance.
  const fleet = await startFleet(4);
  const [lost, ...others] = fleet.nodes;
  for (const { self } of others) fleet.network.setPartitioned("e0#1", self.id, true);
  await fleet.clock.advance(8_000);
  expect(lost?.configuration.isCutOff()).toBe(false);
  fleet.store.setUnavailable(true);
  await fleet.clock.advance(8_000);
  expect(lost?.configuration.isCutOff()).toBe(true);
  expect(others.map(({ configuration }) => configuration.isCutOff())).toEqual([
    false,
    false,
    false,
  ]);
  fleet.close();
});

test("a lower version is never applied, whatever its source", async () => {
  const fleet = await startFleet(2);
  await writeObject(fleet, { key: REVISION_KEY, value: revisionWith("peak") });
  await fleet.clock.advance(IN_FORCE_WITHIN);
  const [node] = fleet.nodes;
  node?.configuration.receive(REVISION_KEY, { version: 1, value: MINIMAL_REVISION });
  expect(fleet.nodes.map(presetOf)).toEqual(["peak", "peak"]);
  fleet.close();
});
