import { afterEach, beforeEach, expect, test } from "vitest";
import {
  createHttpCloud,
  createHttpInstanceList,
  createHttpObjectStore,
} from "../connection/index.ts";
import { Purchase, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { createVirtualClock } from "./memory/index.ts";
import type { VirtualClock } from "./memory/index.ts";
import { startPlatformServer } from "./platform_server.ts";
import type { PlatformServer } from "./platform_server.ts";

const LAG = 60_000;

const WORKER: Worker = {
  id: "w1",
  address: "http://127.0.0.1:1",
  service: "desk",
  zone: "a",
  machineClass: "standard",
  purchase: Purchase.Reclaimable,
  state: WorkerState.Live,
};

const LAUNCH = {
  token: "desk-a-1",
  service: "desk",
  zone: "a",
  machineClass: "standard",
  purchase: Purchase.Reclaimable,
};

let clock: VirtualClock;
let platform: PlatformServer;
let removed: string[];

beforeEach(async () => {
  clock = createVirtualClock();
  removed = [];
  platform = await startPlatformServer({
    listen: "127.0.0.1:0",
    clock,
    workers: [WORKER],
    entries: [{ name: "entry-1", zone: "a" }],
    listLag: LAG,
    launch: () => Promise.resolve("http://127.0.0.1:2"),
    onInstanceRemoved: (instance) => removed.push(instance),
  });
});

afterEach(() => platform.close());

async function post(path: string, body: object): Promise<number> {
  const answer = await fetch(`http://${platform.address}${path}`, {
    method: "POST",
    body: JSON.stringify(body),
  });
  return answer.status;
}

test("launches with the same token return one instance, and the list shows it after its delay", async () => {
  const cloud = createHttpCloud(platform.address);
  const list = createHttpInstanceList(platform.address);
  const first = await cloud.launch(LAUNCH);
  expect(await cloud.launch(LAUNCH)).toEqual(first);
  expect(await list.workers()).toHaveLength(1);
  await clock.advance(LAG);
  expect((await list.workers()).map(({ id, state }) => [id, state])).toEqual([
    ["w1", "live"],
    ["w-desk-a-1", "live"],
  ]);
  cloud.close();
});

test("the reclaim of a zone is announced first, while the delayed list still shows its workers", async () => {
  const cloud = createHttpCloud(platform.address);
  expect(await post("/standin/reclaim", { zone: "a", within: 5_000 })).toBe(200);
  expect((await cloud.notices()).map(({ instance }) => instance)).toEqual(["w1", "entry-1"]);
  expect(await createHttpInstanceList(platform.address).workers()).toMatchObject([
    { id: "w1", state: "live" },
  ]);
  await clock.advance(5_000);
  expect(removed).toEqual(["w1", "entry-1"]);
  expect(await cloud.notices()).toEqual([]);
  cloud.close();
});

test("refused launches, an outage and invalid bodies get the responses that the interfaces define", async () => {
  const cloud = createHttpCloud(platform.address);
  const store = createHttpObjectStore(platform.address);
  await post("/standin/refuse", { zone: "a", refuse: true });
  expect(await cloud.launch(LAUNCH)).toMatchObject({ kind: "refused" });
  expect((await store.put("k", "v", { expect: 0 })).kind).toBe("written");
  await post("/standin/outage", { down: true });
  expect((await store.get("k")).kind).toBe("unavailable");
  expect((await store.put("k", "w", { expect: 1 })).kind).toBe("unavailable");
  await post("/standin/outage", { down: false });
  expect(await store.get("k")).toMatchObject({ object: { value: "v" } });
  expect(await post("/standin/reclaim", { within: "soon" })).toBe(400);
  cloud.close();
  store.close();
});
