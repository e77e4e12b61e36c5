import { sum } from "../src/decision/index.ts";
import { createSeededRandom } from "../src/interface/index.ts";
import type { Random } from "../src/interface/index.ts";
import { FleetRole } from "../src/process/fleet_topology.ts";
import { RunResult } from "../src/request/index.ts";
import { startSyncFleet } from "../src/process/testing/sync_fleet.ts";
import type { SyncFleet, SyncMember } from "../src/process/testing/sync_fleet.ts";

/** A deployment, with the requests that one instance of it carries a second. */
interface Size {
  readonly instances: number;
  readonly workers: number;
  readonly accounts: number;
  readonly requests: number;
}

/** The users' deployments as they are and as they will be, and a region of the size that binds the design. */
const SIZES: readonly Size[] = [
  { instances: 6, workers: 17, accounts: 5, requests: 21 },
  { instances: 9, workers: 17, accounts: 5, requests: 11 },
  { instances: 20, workers: 40, accounts: 16, requests: 20 },
  { instances: 63, workers: 46, accounts: 16, requests: 8 },
  { instances: 195, workers: 75, accounts: 19, requests: 3 },
  { instances: 63, workers: 770, accounts: 60, requests: 50 },
];
const SETTLE_SECONDS = 5;
const MEASURED_SECONDS = 5;
const MILLISECONDS = 1_000;
/** Milliseconds that a run lasts. */
const RUN_TIME = 1_000;

function beginAnywhere(
  fleet: SyncFleet,
  member: SyncMember,
  { accounts, random }: { accounts: number; random: Random },
): void {
  const worker = Math.floor(random.next() * fleet.workers.length);
  const account = accountOf(Math.floor(random.next() * accounts));
  const run = fleet.begin(member, { worker, account });
  fleet.clock.after(RUN_TIME, () => run.end(RunResult.Answered));
}

function accountOf(index: number): string {
  return `account-${index}`;
}

/** What one instance sends a second and what that costs it, in a fleet of the size under load. */
async function measure(size: Size): Promise<Record<string, number>> {
  const names = Array.from({ length: size.accounts }, (_, index) => accountOf(index));
  const fleet = await startSyncFleet({ ...size, accounts: names });
  const random = createSeededRandom(1);
  const play = async (seconds: number): Promise<void> => {
    const step = MILLISECONDS / size.requests;
    for (let at = 0; at < seconds * MILLISECONDS; at += step) {
      for (const member of fleet.members) {
        beginAnywhere(fleet, member, { accounts: size.accounts, random });
      }
      await fleet.clock.advance(step);
    }
  };
  await play(SETTLE_SECONDS);
  const before = fleet.members.map(({ sync: news }) => news.bytesSent);
  const startedAt = process.cpuUsage();
  await play(MEASURED_SECONDS);
  const { user, system } = process.cpuUsage(startedAt);
  const rates = fleet.members.map(({ sync: news }, place) => ({
    role: news.role,
    bytes: (news.bytesSent - (before[place] ?? 0)) / MEASURED_SECONDS,
  }));
  fleet.close();
  const mean = (found: readonly { bytes: number }[]): number =>
    Math.round(sum(found.map(({ bytes }) => bytes)) / Math.max(1, found.length));
  return {
    bytesPerSecond: mean(rates),
    ofRelay: mean(rates.filter(({ role }) => role === FleetRole.Relay)),
    ofMember: mean(rates.filter(({ role }) => role === FleetRole.Member)),
    // With the load's and the virtual clock's own work.
    millisecondsPerSecond:
      Math.round(((user + system) / MILLISECONDS / size.instances / MEASURED_SECONDS) * 10) / 10,
  };
}

/** Prints what the digests of one instance cost, by the deployment's size. */
async function main(): Promise<void> {
  for (const size of SIZES) console.log(JSON.stringify({ ...size, ...(await measure(size)) }));
}

await main();
