import { expect, test } from "vitest";
import { createSeededRandom, MemberState, Purchase, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { MINIMAL_REVISION } from "../version/testing/minimal_revision.ts";
import { startControlFleet } from "./testing/control_fleet.ts";
import type { ControlFleet } from "./testing/control_fleet.ts";
import { createWorkerDirectory } from "./worker_directory.ts";

const WORKER: Worker = {
  id: "w1",
  address: "http://127.0.0.1:1",
  service: "desk",
  zone: "z0",
  machineClass: "standard",
  purchase: Purchase.Reclaimable,
  state: WorkerState.Live,
};

async function startFleet(count: number): Promise<ControlFleet> {
  const fleet = await startControlFleet({ count, zones: 4, revision: MINIMAL_REVISION });
  await fleet.clock.advance(8_000);
  return fleet;
}

function statesOf(fleet: ControlFleet, id: string): Set<MemberState> {
  const otherMembers = fleet.nodes.filter(({ self }) => self.id !== id);
  return new Set(otherMembers.map(({ members }) => members.stateOf(id)));
}

test("instances that know two seeds find all others", async () => {
  const fleet = await startFleet(20);
  for (const { members } of fleet.nodes) expect(members.alive()).toHaveLength(20);
  fleet.close();
});

test("a failed instance is declared dead within seconds", async () => {
  const fleet = await startFleet(12);
  fleet.nodes[5]?.kill();
  await fleet.clock.advance(15_000);
  const otherMembers = fleet.nodes.filter((_, index) => index !== 5);
  expect(new Set(otherMembers.map(({ members }) => members.stateOf("e5#1")))).toEqual(
    new Set([MemberState.Dead]),
  );
  fleet.close();
});

test("an instance that only one peer can't reach is not declared dead", async () => {
  // Only one link fails. Without probes through other members, the one peer would have the instance
  // declared dead and its slots taken over while it is serving callers.
  const fleet = await startFleet(6);
  fleet.network.setPartitioned("e0#1", "e1#1", true);
  await fleet.clock.advance(60_000);
  expect(statesOf(fleet, "e1#1")).toEqual(new Set([MemberState.Alive]));
  fleet.close();
});

/** Records the members that an instance suspects or considers dead from now on. */
function recordSuspicions(fleet: ControlFleet, observer: number): ReadonlySet<string> {
  const suspected = new Set<string>();
  const node = fleet.nodes[observer];
  node?.members.onChange(() => {
    for (const { self } of fleet.nodes) {
      const state = node.members.stateOf(self.id);
      if (state === MemberState.Suspect || state === MemberState.Dead) suspected.add(self.id);
    }
  });
  return suspected;
}

// Timers that expired during the pause run first. All probes in progress would count as failed, and owners as dead.
/** Advances until a peer has received a message, and the sender has no answer yet. */
async function advanceToMessage(fleet: ControlFleet, receiver: number): Promise<void> {
  const members = fleet.nodes[receiver]?.members;
  const before = members?.lastMessageAt();
  while (members?.lastMessageAt() === before) await fleet.clock.advance(0.5);
}

// Timers that expired during the pause run before the answer is read. A live owner then counts as dead.
test("an instance that is paused before the answer to a probe suspects no peer when it resumes", async () => {
  // With two instances no third one can show that the peer answers.
  const fleet = await startFleet(2);
  const suspected = recordSuspicions(fleet, 0);
  for (let pauses = 0; pauses < 5; pauses++) {
    await advanceToMessage(fleet, 1);
    fleet.nodes[0]?.pauseControl.pause();
    await fleet.clock.advance(1_500);
    fleet.nodes[0]?.pauseControl.resume();
    await fleet.clock.advance(5_000);
  }
  expect([...suspected]).toEqual([]);
  fleet.close();
});

test("a paused instance that was declared dead is alive again after it resumes", async () => {
  const fleet = await startFleet(6);
  const [paused] = fleet.nodes;
  paused?.pauseControl.pause();
  await fleet.clock.advance(15_000);
  expect(statesOf(fleet, "e0#1")).toEqual(new Set([MemberState.Dead]));
  paused?.pauseControl.resume();
  await fleet.clock.advance(15_000);
  expect(statesOf(fleet, "e0#1")).toEqual(new Set([MemberState.Alive]));
  fleet.close();
});

test("two separated halves of a fleet join again", async () => {
  const fleet = await startFleet(8);
  const isLeft = (index: number): boolean => index < 4;
  const pairs = fleet.nodes.flatMap(({ self: a }, i) =>
    fleet.nodes.flatMap(({ self: b }, j) => (isLeft(i) && !isLeft(j) ? [[a.id, b.id]] : [])),
  );
  for (const [a = "", b = ""] of pairs) fleet.network.setPartitioned(a, b, true);
  await fleet.clock.advance(30_000);
  expect(fleet.nodes[0]?.members.alive()).toHaveLength(4);
  for (const [a = "", b = ""] of pairs) fleet.network.setPartitioned(a, b, false);
  await fleet.clock.advance(30_000);
  for (const { members } of fleet.nodes) expect(members.alive()).toHaveLength(8);
  fleet.close();
});

test("a leaving instance is marked as leaving everywhere within 3 s and stays known", async () => {
  const fleet = await startFleet(16);
  fleet.nodes[3]?.members.leave();
  await fleet.clock.advance(3_000);
  expect(statesOf(fleet, "e3#1")).toEqual(new Set([MemberState.Leaving]));
  expect(fleet.nodes[0]?.members.find("e3#1")).toBeDefined();
  fleet.close();
});

test("an instance that missed its own notice receives it from the others", async () => {
  const fleet = await startFleet(8);
  let notices = 0;
  fleet.nodes[2]?.members.onOwnNotice(() => notices++);
  fleet.nodes[6]?.members.markMemberLeaving("e2");
  await fleet.clock.advance(3_000);
  expect(notices).toBe(1);
  expect(statesOf(fleet, "e2#1")).toEqual(new Set([MemberState.Leaving]));
  fleet.close();
});

test("a leaving worker is marked everywhere within 3 s although the list lags and one instance missed the notice", async () => {
  // The cloud reclaims a backend server. The platform's list reports it as live for another minute,
  // and one instance was unreachable while the mark spread. Requests sent to the server would be
  // lost halfway.
  const fleet = await startFleet(16);
  const directories = fleet.nodes.map(({ members }, index) =>
    createWorkerDirectory({
      clock: fleet.clock,
      random: createSeededRandom(index),
      instances: { workers: () => Promise.resolve([WORKER]) },
      members,
      count: () => undefined,
    }),
  );
  for (const directory of directories) await directory.start();
  const isolated = "e9#1";
  const cut = (isCut: boolean): void => {
    for (const { self } of fleet.nodes) {
      if (self.id !== isolated) fleet.network.setPartitioned(isolated, self.id, isCut);
    }
  };
  cut(true);
  fleet.nodes[4]?.members.markWorkerLeaving("w1", "z0");
  await fleet.clock.advance(600);
  cut(false);
  await fleet.clock.advance(2_400);
  expect(directories.map((directory) => directory.find("w1")?.state)).toEqual(
    directories.map(() => WorkerState.Leaving),
  );
  fleet.close();
});

test("a survey returns the versions of every instance that answers and omits the others", async () => {
  const fleet = await startFleet(6);
  fleet.nodes[4]?.pauseControl.pause();
  const surveying = fleet.nodes[0]?.members.survey();
  await fleet.clock.advance(2_000);
  const found = await surveying;
  expect([...(found?.keys() ?? [])].sort()).toEqual(["e0#1", "e1#1", "e2#1", "e3#1", "e5#1"]);
  for (const versions of found?.values() ?? []) expect(versions).toHaveLength(2);
  fleet.close();
});

test("the size of a probe reply doesn't grow with the fleet", async () => {
  const sizes = await Promise.all(
    [8, 32].map(async (count) => {
      const fleet = await startFleet(count);
      await fleet.clock.advance(10_000);
      const reply = fleet.nodes[0]?.members.handlers.probe({
        from: "e1#1",
        deltas: [],
        versions: [],
      });
      fleet.close();
      return JSON.stringify(await reply).length;
    }),
  );
  expect(sizes[1]).toBeLessThanOrEqual((sizes[0] ?? 0) + 200);
});
