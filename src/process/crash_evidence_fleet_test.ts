import { afterEach, expect, test } from "vitest";
import type { Suspect } from "../decision/index.ts";
import { FleetRole } from "./fleet_tree.ts";
import { startChangeFleet } from "./testing/news_fleet.ts";
import type { NewsFleet, NewsMember } from "./testing/news_fleet.ts";

const REASON: Suspect = { name: "reason", key: 77 };
const CHANCE: Suspect = { name: "chance", key: 78 };
/** Maximum time after the third crash until every instance refuses the request, in milliseconds. */
const CONTACT_TIME = 3_000;
/** Test timeout in real milliseconds: hundreds of instances in one process take half a minute on a busy machine. */
const GREATEST_TIME = 240_000;

const fleets: NewsFleet[] = [];
afterEach(() => {
  for (const fleet of fleets.splice(0)) fleet.close();
});

async function start(instances: number): Promise<NewsFleet> {
  const fleet = await startChangeFleet(instances);
  fleets.push(fleet);
  return fleet;
}

function stop(member: NewsMember): void {
  member.isLive = false;
  member.news.close();
  member.feed.close();
}

/** Sends the request unless the instance knows that it crashes workers. Every request sent crashes its worker. */
function ask({ clock }: NewsFleet, { evidence }: NewsMember): boolean {
  const isSent = !evidence.isProven(REASON, clock.now());
  if (isSent) evidence.crashed(REASON, clock.now());
  return isSent;
}

function live({ members }: NewsFleet): NewsMember[] {
  return members.filter(({ isLive }) => isLive);
}

function memberAt(fleet: NewsFleet, place: number): NewsMember {
  const members = live(fleet);
  const found = members[(place * 7) % members.length];
  if (found === undefined) throw new Error("No live instance is left in the fleet.");
  return found;
}

test.each([1, 6, 13, 14, 60, 300])(
  "all %i instances refuse a request that crashed three workers anywhere in the fleet",
  async (size) => {
    const fleet = await start(size);
    for (let crash = 0; crash < 3; crash++) {
      ask(fleet, memberAt(fleet, crash));
      await fleet.clock.advance(400);
    }
    await fleet.clock.advance(CONTACT_TIME);
    for (const member of fleet.members) expect(ask(fleet, member)).toBe(false);
  },
  GREATEST_TIME,
);

test.each([6, 60])(
  "keeps crash counts after the instances that counted them stop, of %i instances",
  async (size) => {
    const fleet = await start(size);
    const seen = [0, 1, 2].map((place) => memberAt(fleet, place));
    for (const member of seen) ask(fleet, member);
    await fleet.clock.advance(CONTACT_TIME);
    for (const member of live(fleet)) expect(ask(fleet, member)).toBe(false);
    for (const member of seen) stop(member);
    await fleet.clock.advance(CONTACT_TIME);
    const sent = live(fleet).filter((member) => ask(fleet, member));
    expect(sent.length).toBe(0);
  },
);

test.each([6, 60])(
  "refuses the request despite lost digests and stopped relays, of %i instances",
  async (size) => {
    const fleet = await start(size);
    fleet.network.trouble.lost = 0.3;
    let sent = 0;
    for (let round = 0; round < 60; round++) {
      if (round === 2) {
        const relays = live(fleet).filter(({ news }) => news.role === FleetRole.Relay);
        for (const relay of relays.slice(0, 2)) stop(relay);
      }
      const isCounted = round * 200 > CONTACT_TIME;
      if (ask(fleet, memberAt(fleet, round)) && isCounted) sent++;
      await fleet.clock.advance(200);
    }
    expect(sent).toBeLessThanOrEqual(3);
  },
);

test.each([6, 60])(
  "does not refuse a request that other instances have answered, of %i instances",
  async (size) => {
    const fleet = await start(size);
    const { clock } = fleet;
    const answering = live(fleet).slice(0, size / 2);
    for (const { evidence } of answering) evidence.answered(CHANCE, clock.now());
    for (let crash = 0; crash < 4; crash++) {
      memberAt(fleet, crash).evidence.crashed(CHANCE, clock.now());
    }
    await clock.advance(1_000);
    for (const { evidence } of answering) evidence.isProven(CHANCE, clock.now());
    await clock.advance(1_500);
    for (const { evidence } of live(fleet))
      expect(evidence.isProven(CHANCE, clock.now())).toBe(false);
  },
);
