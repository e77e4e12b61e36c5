import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import type { Random } from "../interface/index.ts";
import { QuotaUnit } from "../version/index.ts";
import { FleetRole } from "./fleet_topology.ts";
import { startSyncFleet } from "./testing/sync_fleet.ts";
import type { SyncFleet, SyncMember } from "./testing/sync_fleet.ts";

/** Tokens per second and at once; a model account of a customer with dozens of instances. */
const QUOTA = {
  unit: QuotaUnit.Tokens,
  perSecond: 205_000,
  burst: 236_000,
  unstatedTokens: 0,
};
const ACCOUNT = "hot";
/** What customers accept beyond a quota in any window: a fraction of it, and tokens. */
const TOLERANCE = { fraction: 0.1, tokens: 140_000 };
const WINDOW = 8_000;
const STEP = 10;
const LENGTH = 12_000;
/** When relays stop, in milliseconds of the overload. */
const STOP_AT = 2_500;
/** Mean of the sizes below, in tokens. */
const MEAN_SIZE = 5_000;

/** An admitted request. */
interface Admission {
  readonly at: number;
  readonly size: number;
}

/** Most requests are small; one in ten is ten times as large. */
function drawSize(random: Random): number {
  return random.next() < 0.1 ? 26_000 : 2_667;
}

/** Stops as many relays, each in another zone. */
function stopRelays({ members }: SyncFleet, count: number): void {
  const relays = members.filter(({ sync }) => sync.role === FleetRole.Relay);
  const zones = new Set<string>();
  for (const relay of relays) {
    if (zones.size === count || zones.has(relay.zone)) continue;
    zones.add(relay.zone);
    relay.isLive = false;
    relay.sync.close();
  }
}

/** What callers send to a fleet, and what happens to it meanwhile. */
interface Overload {
  /** The requested amount, in units of the quota. */
  readonly factor: number;
  readonly seed: number;
  /** Number of relays that stop. */
  readonly stops: number;
  /** Whether the instances start with the load, digests are lost and an instance is restarted. */
  readonly isStarting?: boolean;
  /** Exponent of the random choice of an instance; above 1, the first ones get most requests. */
  readonly unevenness?: number;
}

/** Starts a fleet whose instances know the account. */
async function startFleet(
  instances: number,
  { seed, isStarting = false }: Overload,
): Promise<SyncFleet> {
  const startTime = isStarting ? 300 : 0;
  const fleet = await startSyncFleet({ instances, workers: 1, accounts: [], seed, startTime });
  addAccount(fleet, fleet.members);
  if (isStarting) fleet.network.faults.lost = 0.02;
  else await fleet.clock.advance(5_000);
  return fleet;
}

function addAccount({ clock }: SyncFleet, members: readonly SyncMember[]): void {
  for (const { quota } of members)
    quota.addAccounts([{ name: ACCOUNT, quota: QUOTA }], clock.now());
}

async function restartMember(fleet: SyncFleet): Promise<void> {
  const member = fleet.members.find(({ sync }) => sync.role === FleetRole.Member);
  if (member !== undefined) addAccount(fleet, [await fleet.restart(member)]);
}

/** Has callers send a multiple of the quota to random instances. Returns what was admitted. */
async function overload(
  instances: number,
  load: Overload,
): Promise<{ readonly admissions: Admission[]; readonly sent: number }> {
  const { factor, seed, stops, unevenness = 1 } = load;
  const random = createSeededRandom(seed);
  const fleet = await startFleet(instances, load);
  const startedAt = fleet.clock.now();
  const admissions: Admission[] = [];
  let sent = 0;
  const perStep = (factor * QUOTA.perSecond * STEP) / 1_000 / MEAN_SIZE;
  let haveStopped = false;
  while (fleet.clock.now() - startedAt < LENGTH) {
    const elapsed = fleet.clock.now() - startedAt;
    if (!haveStopped && elapsed >= STOP_AT) {
      haveStopped = true;
      stopRelays(fleet, stops);
      if (load.isStarting === true) await restartMember(fleet);
    }
    const count = Math.floor(perStep + random.next());
    for (let index = 0; index < count; index++) {
      const member = fleet.members[Math.floor(random.next() ** unevenness * instances)];
      const size = drawSize(random);
      const now = fleet.clock.now();
      if (member?.isLive !== true) continue;
      sent += size;
      if (member.quota.take({ account: ACCOUNT, quota: QUOTA, size, now }) === 0)
        admissions.push({ at: now - startedAt, size });
    }
    await fleet.clock.advance(STEP);
  }
  fleet.close();
  return { admissions, sent };
}

/** The most that was admitted in any window. */
function mostInWindow(admissions: readonly Admission[]): number {
  let sum = 0;
  let most = 0;
  let first = 0;
  for (const { at, size } of admissions) {
    sum += size;
    for (let oldest = admissions[first]; oldest !== undefined; oldest = admissions[first]) {
      if (oldest.at > at - WINDOW) break;
      sum -= oldest.size;
      first++;
    }
    most = Math.max(most, sum);
  }
  return most;
}

// Every instance of a large fleet sees what is left of a quota half a second late, and later while relays change. If each
// admits requests against it, an account that sends several times its quota gets much more than that.
test.each([
  [78, 1.5, 0],
  [78, 6, 0],
  [78, 12, 0],
  [78, 12, 3],
])(
  "%s instances admit an account that sends %s times its quota about once, with %s relays stopped",
  async (instances, factor, stops) => {
    const { admissions } = await overload(instances, { factor, seed: 1, stops });
    const quota = (QUOTA.perSecond * WINDOW) / 1_000 + QUOTA.burst;
    const most = mostInWindow(admissions);
    const total = admissions.reduce((sum, { size }) => sum + size, 0);
    const whole = (QUOTA.perSecond * LENGTH) / 1_000;
    expect(most).toBeLessThan(quota * (1 + TOLERANCE.fraction) + TOLERANCE.tokens);
    expect(total).toBeGreaterThan(0.9 * whole);
  },
);

// Guards against refusals within a quota because an instance sees a few large requests by chance.
test("78 instances admit all requests of an account that sends 0.8 times its quota", async () => {
  const { admissions, sent } = await overload(78, { factor: 0.8, seed: 1, stops: 0 });
  const admitted = admissions.reduce((sum, { size }) => sum + size, 0);
  expect(admitted).toBeGreaterThan(0.98 * sent);
});

// All instances start and select their relays while an account sends more than its quota, and relays fail soon
// afterwards. If what was admitted in the meantime is deducted nowhere, the account gets much more than its quota.
test.each([
  [1, 3.2, 0],
  [2, 3.2, 3],
])(
  "78 instances that have just started admit an account about once (seed %s, %s times its quota, %s relays stopped)",
  async (seed, factor, stops) => {
    const load = { factor, seed, stops, isStarting: true };
    const { admissions } = await overload(78, load);
    const quota = (QUOTA.perSecond * WINDOW) / 1_000 + QUOTA.burst;
    expect(mostInWindow(admissions)).toBeLessThan(
      quota * (1 + TOLERANCE.fraction) + TOLERANCE.tokens,
    );
  },
);

// Guards against refusals within a quota at instances that get most of an account's requests.
test.each([false, true])(
  "an account that sends 0.9 times its quota mostly to a few instances is admitted (they have just started: %s)",
  async (isStarting) => {
    const load = { factor: 0.9, seed: 1, stops: 0, isStarting, unevenness: 4 };
    const { admissions, sent } = await overload(78, load);
    const admitted = admissions.reduce((sum, { size }) => sum + size, 0);
    expect(admitted).toBeGreaterThan(0.99 * sent);
  },
);
