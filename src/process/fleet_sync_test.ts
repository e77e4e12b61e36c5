import { afterEach, expect, test, vi } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import { FleetRole } from "./fleet_topology.ts";
import { FLEET_SERVICE, FLEET_WINDOW, startSyncFleet } from "./testing/sync_fleet.ts";
import type { SyncFleet, SyncMember } from "./testing/sync_fleet.ts";

const ACCOUNT = "club";
const WORKERS = 8;
/** Amount of a run, and the quota's refill per second and level at the start, in tokens. */
const RUN_SIZE = 100;
const REFILL = 1_000;
const INITIAL_LEVEL = 0.6e9;

/** Number of runs that each instance has started at every worker. */
const startedRuns = new Map<SyncMember, number>();
const closers: (() => void)[] = [];
afterEach(() => {
  startedRuns.clear();
  for (const close of closers.splice(0)) close();
});

async function startFleet(instances: number, seed = 1): Promise<SyncFleet> {
  const fleet = await startSyncFleet({ instances, workers: WORKERS, accounts: [ACCOUNT], seed });
  closers.push(() => fleet.close());
  await fleet.clock.advance(4_000);
  return fleet;
}

/** Starts one run at each worker. */
function startRuns(fleet: SyncFleet, member: SyncMember): void {
  for (let worker = 0; worker < WORKERS; worker++)
    fleet.begin(member, { worker, account: ACCOUNT });
  startedRuns.set(member, (startedRuns.get(member) ?? 0) + 1);
}

function runningCounts({ workerTable }: SyncMember): number[] {
  return workerTable.loads(FLEET_SERVICE).map((load) => load.running);
}

function expectedCounts(members: readonly SyncMember[]): number[] {
  const total = members.reduce(
    (sum, one) => sum + (one.isLive ? (startedRuns.get(one) ?? 0) : 0),
    0,
  );
  return Array.from({ length: WORKERS }, () => total);
}

async function restartMember(fleet: SyncFleet): Promise<SyncMember> {
  const member = fleet.members.find(({ sync, isLive }) => isLive && sync.role === FleetRole.Member);
  if (member === undefined) throw new Error("A large fleet must have members.");
  return fleet.restart(member);
}

/** Returns the total number of runs ever started. */
function totalRuns(members: readonly SyncMember[]): number {
  return WORKERS * members.reduce((sum, one) => sum + (startedRuns.get(one) ?? 0), 0);
}

function relaysOf(members: readonly SyncMember[]): SyncMember[] {
  return members.filter(({ sync, isLive }) => isLive && sync.role === FleetRole.Relay);
}

function stop(member: SyncMember): void {
  member.isLive = false;
  member.sync.close();
  member.feed.close();
}

/** Returns the instances that query the store on behalf of all others. */
function watchersOf({ members, store }: SyncFleet): SyncMember[] {
  const before = new Map(store.calls);
  return members.filter(
    ({ sync, isLive }, index) => isLive && !sync.isFed() && before.has(`e${index}`),
  );
}

/** Returns the number of live instances with each value of a store object. */
function countByValue({ members }: SyncFleet, name: string): Map<unknown, number> {
  const counts = new Map<unknown, number>();
  for (const { feed, isLive } of members) {
    const value = feed.objects.get(name)?.value;
    if (isLive) counts.set(value, (counts.get(value) ?? 0) + 1);
  }
  return counts;
}

// Every instance selects workers by the total load there. An instance that counted some runs twice,
// or not at all, would overload some workers while others are idle.
test.each([6, 13, 14, 40, 120])(
  "each of %i instances has the total counts of the workers",
  async (size) => {
    const fleet = await startFleet(size);
    const { clock, members } = fleet;
    const random = createSeededRandom(2);
    for (let step = 0; step < 40; step++) {
      for (const member of members) if (random.next() < 0.3) startRuns(fleet, member);
      await clock.advance(50);
    }
    await clock.advance(1_500);
    for (const member of members) {
      expect(member.sync.members).toBe(size);
      expect(member.sync.live().length).toBe(size - 1);
      expect(runningCounts(member)).toEqual(expectedCounts(members));
    }
    const relays = relaysOf(members);
    expect(relays.length).toBe(size <= 13 ? 0 : 8);
    for (const { ledger } of size <= 13 ? members : relays) {
      expect(ledger.total(FLEET_WINDOW)).toEqual({ [ACCOUNT]: totalRuns(members) });
    }
  },
);

// Datagrams are lost, duplicated and reordered on each of the three hops from one instance to
// another.
test.each([1, 2, 3])(
  "sums are correct although digests are lost, duplicated and reordered (seed %i)",
  async (seed) => {
    const fleet = await startFleet(24, seed);
    const { clock, network, members } = fleet;
    network.faults = { lost: 0.2, twice: 0.2 };
    const random = createSeededRandom(100 + seed);
    for (let step = 0; step < 100; step++) {
      for (const member of members) if (random.next() < 0.1) startRuns(fleet, member);
      await clock.advance(50);
    }
    network.faults = { lost: 0, twice: 0 };
    await clock.advance(4_000);
    for (const member of members) expect(runningCounts(member)).toEqual(expectedCounts(members));
  },
);

// Both relays of a zone fail at the same time. The zone receives no updates until other relays
// replace them, and the runs of the failed relays no longer count.
async function expectRelaysReplaced(seed: number): Promise<void> {
  const fleet = await startFleet(40, seed);
  const { clock, members } = fleet;
  for (const member of members) startRuns(fleet, member);
  await clock.advance(2_000);
  const failedRelays = relaysOf(members).filter(({ zone }) => zone === "z1");
  failedRelays.forEach(stop);
  const survivors = members.filter(({ isLive }) => isLive);
  expect(survivors.length).toBe(38);
  await clock.advance(3_500);
  for (const member of survivors) {
    expect(runningCounts(member)).toEqual(expectedCounts(members));
    expect(member.sync.live().length).toBe(37);
  }
  for (const member of survivors) startRuns(fleet, member);
  await clock.advance(1_500);
  for (const member of survivors) expect(runningCounts(member)).toEqual(expectedCounts(members));
  for (const { ledger } of relaysOf(members)) {
    // Only the two failed relays had their own counts for this window.
    const known = ledger.total(FLEET_WINDOW)[ACCOUNT] ?? 0;
    expect(known).toBeLessThanOrEqual(totalRuns(members));
    expect(known).toBeGreaterThanOrEqual(totalRuns(members) - totalRuns(failedRelays));
  }
}

test.each([1, 3, 4, 8, 11])(
  "relays that fail are replaced and nothing is counted twice (seed %i)",
  (seed) => expectRelaysReplaced(seed),
);

// A quota applies across all instances. If a change of relays reported earlier admissions again, an
// account would be refused within its quota; if it lost later admissions, the account would exceed
// its quota.
test("admissions are counted once by every instance, even when relays change", async () => {
  const fleet = await startFleet(40);
  const { clock, members } = fleet;
  for (const member of members) startRuns(fleet, member);
  await clock.advance(2_000);
  const relaysBefore = new Set(relaysOf(members));
  const [first] = relaysBefore;
  if (first === undefined) throw new Error("A fleet of 40 instances must have relays.");
  stop(first);
  await clock.advance(3_500);
  const survivors = members.filter(({ isLive }) => isLive);
  for (const member of survivors) expect(fleet.canAdmit(member, ACCOUNT)).toBe(true);
  for (let round = 0; round < 3; round++) {
    for (const member of survivors) startRuns(fleet, member);
    await clock.advance(1_000);
  }
  for (const member of survivors) expect(fleet.canAdmit(member, ACCOUNT)).toBe(true);
  for (const relay of relaysOf(members)) {
    // A new relay is not sent the counts that the failed relay had recorded itself.
    const min = totalRuns(members) - (relaysBefore.has(relay) ? 0 : totalRuns([first]));
    expect(relay.ledger.total(FLEET_WINDOW)[ACCOUNT]).toBeGreaterThanOrEqual(min);
    expect(relay.ledger.total(FLEET_WINDOW)[ACCOUNT]).toBeLessThanOrEqual(totalRuns(members));
  }
});

// All instances start and select relays, and relays and other instances fail while accounts send requests. If what was
// admitted before a source of sums was selected were only a base, it would be deducted nowhere, and accounts would get more
// than their quota in the seconds after each of these events.
test.each([1, 2, 3])(
  "what is admitted while instances start and relays change is deducted at every instance (seed %i)",
  async (seed) => {
    const size = { instances: 40, workers: WORKERS, accounts: [ACCOUNT], seed, startTime: 300 };
    const fleet = await startSyncFleet(size);
    closers.push(() => fleet.close());
    const { clock, members, network } = fleet;
    network.faults.lost = 0.02;
    const random = createSeededRandom(seed);
    let admitted = 0;
    let restarted: SyncMember | undefined;
    for (let step = 0; step < 800; step++) {
      if (step === 300) relaysOf(members).slice(0, 2).forEach(stop);
      if (step === 400) restarted = await restartMember(fleet);
      const member = members[Math.floor(random.next() * members.length)];
      if (member?.isLive === true) {
        fleet.begin(member, { worker: 0, account: ACCOUNT });
        admitted += RUN_SIZE;
      }
      await clock.advance(10);
    }
    await clock.advance(1_500);
    const levels = members
      .filter((one) => one.isLive && one !== restarted)
      .map(({ quota }) => quota.account(ACCOUNT)?.level ?? NaN);
    const initial = INITIAL_LEVEL + REFILL * (clock.now() / 1_000);
    // A new relay lacks what stopped instances admitted in the latest periods: three of 40, for at most 4 s.
    expect(initial - Math.max(...levels)).toBeGreaterThan(admitted - 3 * 10 * RUN_SIZE);
    // The quota is refilled more slowly until an instance receives digests from all others.
    expect(initial - Math.min(...levels)).toBeLessThan(admitted + 3 * REFILL);
  },
);

// In a fleet of hundreds of instances on small machines, the traffic of each must not grow with the
// size of the fleet.
test("a member of a large fleet sends a few messages per period", async () => {
  const fleet = await startFleet(120);
  const { clock, members } = fleet;
  const before = members.map(({ sync }) => sync.bytesSent);
  const random = createSeededRandom(3);
  for (let step = 0; step < 40; step++) {
    for (const member of members) if (random.next() < 0.15) startRuns(fleet, member);
    await clock.advance(50);
  }
  const rates = members.map(({ sync }, index) => (sync.bytesSent - (before[index] ?? 0)) / 2);
  for (const [index, member] of members.entries()) {
    if (member.sync.role === FleetRole.Member) expect(rates[index]).toBeLessThan(2_048);
  }
  expect(relaysOf(members).length).toBe(8);
});

// Every store change costs one call per watching instance. A few instances watch and the others
// receive changes from them.
test("a few instances query the store, and all receive changes promptly", async () => {
  const fleet = await startFleet(40);
  const { clock, store, members } = fleet;
  expect(watchersOf(fleet).length).toBe(4);
  const before = [...store.calls.values()].reduce((sum, count) => sum + count, 0);
  for (let change = 1; change <= 10; change++) {
    store.put(`object-${change}`, change);
    if (change > 1) store.put(`object-${change - 1}`);
    await clock.advance(1_000);
    expect(countByValue(fleet, `object-${change}`)).toEqual(new Map([[change, members.length]]));
    expect(countByValue(fleet, `object-${change - 1}`)).toEqual(
      new Map([[undefined, members.length]]),
    );
  }
  const after = [...store.calls.values()].reduce((sum, count) => sum + count, 0);
  // Four watches return with each change, and otherwise time out every two seconds.
  expect(after - before).toBeLessThan(4 * (2 * 10 + 10));
});

// All watchers fail at once, or lose their connection to the store. A worker that starts to leave
// must be reported as leaving everywhere within two seconds, or within four if the other instances
// have not yet detected the loss of the store.
test("instances that no longer receive store changes query the store themselves", async () => {
  const fleet = await startFleet(40);
  const { clock, store, members } = fleet;
  watchersOf(fleet).forEach(stop);
  store.put("worker", "leaving");
  await clock.advance(2_000);
  expect(countByValue(fleet, "worker")).toEqual(new Map([["leaving", members.length - 4]]));
  await clock.advance(3_000);
  const watchers = watchersOf(fleet);
  expect(watchers.length).toBe(4);
  for (const watcher of watchers) store.cut.add(`e${members.indexOf(watcher)}`);
  store.put("worker");
  await clock.advance(4_000);
  expect(countByValue(fleet, "worker")).toEqual(new Map([[undefined, members.length - 4]]));
});

// Each report to the other instances renews the amount that an account may use until the next
// report. If reading the sums counted as a report, an instance that reads them several times a
// second would admit a share of the quota each time without reporting it to the others.
test("reading the sums does not count as a report", async () => {
  const { members } = await startFleet(14);
  for (const { sync, quota } of members) {
    const createReport = vi.spyOn(quota, "createReport");
    sync.sums();
    expect(createReport).not.toHaveBeenCalled();
  }
});
