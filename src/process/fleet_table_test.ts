import { expect, test } from "vitest";
import { createStallingClock } from "../standin/memory/index.ts";
import { createFleetTable } from "./fleet_table.ts";
import { createRunningTime } from "./running_time.ts";

const SELF = "10.0.0.1:9";
const PEER = "10.0.0.2:9";

// After a stall, timers run before sockets are read. An instance that then takes all others for lost reads the store
// itself and admits requests as if it were alone.
test("a stall of the process is no silence of the other instances", () => {
  const clock = createStallingClock();
  const runningTime = createRunningTime(clock);
  runningTime.start();
  const introduction = { name: "e1", zone: "a", callers: SELF, peers: SELF, capacity: 1 };
  const table = createFleetTable({ clock, runningTime, introduction, session: 1 });
  table.addAddresses([PEER]);
  const peer = table.peers.get(PEER);
  if (peer === undefined) throw new Error("The peer is missing.");
  Object.assign(peer, { isLive: true, receivedAt: clock.now() });
  clock.stall(3_000);
  table.expire();
  expect(peer.isLive).toBe(true);
  clock.advance(1_200);
  table.expire();
  expect(peer.isLive).toBe(false);
});
