import { afterEach, expect, test } from "vitest";
import { MIN_PROVING_MOMENTS } from "../decision/index.ts";
import type { SuspectRequest } from "../decision/index.ts";
import { FleetRole } from "./fleet_topology.ts";
import { startChangeFleet } from "./testing/sync_fleet.ts";
import type { SyncFleet, SyncMember } from "./testing/sync_fleet.ts";

const CRASHING: SuspectRequest = { name: "reason", key: 77 };
const HARMLESS: SuspectRequest = { name: "chance", key: 78 };
const CRASHING_PART: SuspectRequest = { name: "part-00000000000000ab", key: 0 };
/** Maximum time after the third crash until every instance refuses the request, in milliseconds. */
const PROPAGATION_TIME = 3_000;
/** Test timeout in real milliseconds: hundreds of instances in one process take half a minute on a busy machine. */
const TEST_TIMEOUT = 240_000;

const fleets: SyncFleet[] = [];
afterEach(() => {
  for (const fleet of fleets.splice(0)) fleet.close();
});

async function start(instances: number): Promise<SyncFleet> {
  const fleet = await startChangeFleet(instances);
  fleets.push(fleet);
  return fleet;
}

function stop(member: SyncMember): void {
  member.isLive = false;
  member.sync.close();
  member.feed.close();
}

/** Sends the request unless it is proven to the instance that it crashes workers. Each one sent crashes its worker. */
function sendRequest({ clock }: SyncFleet, { evidence }: SyncMember): boolean {
  const isSent = !evidence.isProven(CRASHING, clock.now());
  if (isSent) evidence.recordCrash(CRASHING, clock.now());
  return isSent;
}

function liveMembers({ members }: SyncFleet): SyncMember[] {
  return members.filter(({ isLive }) => isLive);
}

function memberAt(fleet: SyncFleet, index: number): SyncMember {
  const members = liveMembers(fleet);
  const found = members[(index * 7) % members.length];
  if (found === undefined) throw new Error("No live instance is left in the fleet.");
  return found;
}

// If each instance counted only its own crashes, the request could crash three workers per instance.
test.each([1, 6, 13, 14, 60, 300])(
  "all %i instances refuse a request that crashed three workers anywhere in the fleet",
  async (size) => {
    const fleet = await start(size);
    for (let crash = 0; crash < 3; crash++) {
      sendRequest(fleet, memberAt(fleet, crash));
      await fleet.clock.advance(400);
    }
    await fleet.clock.advance(PROPAGATION_TIME);
    for (const member of fleet.members) expect(sendRequest(fleet, member)).toBe(false);
  },
  TEST_TIMEOUT,
);

// If the counts were lost with the instances that counted them, the request could crash further workers.
test.each([6, 60])(
  "a fleet of %i instances keeps crash counts after the instances that counted them stop",
  async (size) => {
    const fleet = await start(size);
    const seen = [0, 1, 2].map((index) => memberAt(fleet, index));
    for (const member of seen) sendRequest(fleet, member);
    await fleet.clock.advance(PROPAGATION_TIME);
    for (const member of liveMembers(fleet)) expect(sendRequest(fleet, member)).toBe(false);
    for (const member of seen) stop(member);
    await fleet.clock.advance(PROPAGATION_TIME);
    const sent = liveMembers(fleet).filter((member) => sendRequest(fleet, member));
    expect(sent.length).toBe(0);
  },
);

// Digests are lost and relays stop while the counts are passed on. Instances without them would crash further workers.
test.each([6, 60])(
  "a fleet of %i instances refuses the request despite lost digests and stopped relays",
  async (size) => {
    const fleet = await start(size);
    fleet.network.faults.lost = 0.3;
    let sent = 0;
    for (let round = 0; round < 60; round++) {
      if (round === 2) {
        const relays = liveMembers(fleet).filter(({ sync }) => sync.role === FleetRole.Relay);
        for (const relay of relays.slice(0, 2)) stop(relay);
      }
      const isCounted = round * 200 > PROPAGATION_TIME;
      if (sendRequest(fleet, memberAt(fleet, round)) && isCounted) sent++;
      await fleet.clock.advance(200);
    }
    expect(sent).toBeLessThanOrEqual(3);
  },
);

// A harmless request may run on several crashing workers by chance. Its answers at other instances must count.
test.each([6, 60])(
  "a fleet of %i instances does not refuse a request that other instances have answered",
  async (size) => {
    const fleet = await start(size);
    const { clock } = fleet;
    const answering = liveMembers(fleet).slice(0, size / 2);
    for (const { evidence } of answering) evidence.recordAnswer(HARMLESS, clock.now());
    for (let crash = 0; crash < 4; crash++) {
      memberAt(fleet, crash).evidence.recordCrash(HARMLESS, clock.now());
    }
    await clock.advance(1_000);
    for (const { evidence } of answering) evidence.isProven(HARMLESS, clock.now());
    await clock.advance(1_500);
    for (const { evidence } of liveMembers(fleet))
      expect(evidence.isProven(HARMLESS, clock.now())).toBe(false);
  },
);

// The parts are known only to the instances that sent the requests. Without the reports of the others, each instance would
// have to lose several workers itself.
test.each([1, 6, 13, 14, 60, 300])(
  "all %i instances refuse a part of prompts that crashed workers anywhere in the fleet",
  async (size) => {
    const fleet = await start(size);
    for (let crash = 0; crash < MIN_PROVING_MOMENTS; crash++) {
      memberAt(fleet, crash).partEvidence.recordCrash(CRASHING_PART, fleet.clock.now());
      await fleet.clock.advance(400);
    }
    await fleet.clock.advance(PROPAGATION_TIME - 400);
    for (const { partEvidence } of fleet.members)
      expect(partEvidence.isProven(CRASHING_PART, fleet.clock.now())).toBe(true);
  },
  TEST_TIMEOUT,
);

// Three of ten digests are lost, and a part that every prompt has is answered at other instances than those that lose workers.
test.each([6, 60])(
  "a fleet of %i instances does not refuse a part of prompts that other instances have answered",
  async (size) => {
    const fleet = await start(size);
    fleet.network.faults = { lost: 0.3, twice: 0.1 };
    for (let round = 0; round < 30; round++) {
      memberAt(fleet, round).partEvidence.recordCrash(CRASHING_PART, fleet.clock.now());
      for (let answer = 1; answer <= 3; answer++)
        memberAt(fleet, round + answer).partEvidence.recordAnswer(CRASHING_PART, 0);
      await fleet.clock.advance(250);
      for (const { partEvidence } of fleet.members)
        expect(partEvidence.isProven(CRASHING_PART, fleet.clock.now())).toBe(false);
    }
  },
  TEST_TIMEOUT,
);
