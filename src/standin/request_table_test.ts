import { expect, test } from "vitest";
import { EngineKnowledge } from "../interface/index.ts";
import type { Dispatch, EngineEvent } from "../interface/index.ts";
import { createVirtualClock } from "./memory/index.ts";
import type { VirtualClock } from "./memory/index.ts";
import { createRequestTable } from "./request_table.ts";
import type { RequestTable } from "./request_table.ts";
import { createEngineTokenSource } from "./token_source.ts";

const CAPACITY = { tokensPerSecond: 900, prefillPerSecond: 8_000, cacheTokens: 10_000 };
const LONG_TIME = 10_000;

function createTable(checksFence = false): { table: RequestTable; clock: VirtualClock } {
  const clock = createVirtualClock();
  const source = createEngineTokenSource(clock, { capacity: CAPACITY, timeScale: 1 });
  return { table: createRequestTable(source, { checksFence }), clock };
}

function dispatchOf(fields: Partial<Dispatch> = {}): Dispatch {
  const body = JSON.stringify({ messages: [{ content: "Which class?" }], max_tokens: 5 });
  const path = "/v1/chat/completions";
  const rest = { service: "desk", path, body, tokens: [], priority: 0, timeLeft: LONG_TIME };
  return { id: "r1", attempt: 1, ...rest, ...fields };
}

function collect(): { events: EngineEvent[]; follower: (more: readonly EngineEvent[]) => void } {
  const events: EngineEvent[] = [];
  return { events, follower: (more) => events.push(...more) };
}

function indexes(events: readonly EngineEvent[]): number[] {
  return events.flatMap((event) => (event.kind === "token" ? [event.index] : []));
}

test("a request is answered with its tokens in order and one end", async () => {
  const { table, clock } = createTable();
  const { events, follower } = collect();
  table.run(dispatchOf(), follower);
  await clock.advance(LONG_TIME);
  expect(events.map(({ kind }) => kind)).toEqual([
    "started",
    "token",
    "token",
    "token",
    "token",
    "token",
    "finished",
  ]);
  expect(indexes(events)).toEqual([0, 1, 2, 3, 4]);
});

test("the same id sent twice runs once, and both callers get the whole answer", async () => {
  // The acknowledgement of a dispatch is lost and it is sent again while the first one runs. Run twice, an
  // entry would be doubled and a club pay twice.
  const { table, clock } = createTable();
  const first = collect();
  const second = collect();
  table.run(dispatchOf(), first.follower);
  await clock.advance(60);
  table.run(dispatchOf(), second.follower);
  await clock.advance(LONG_TIME);
  expect(table.runs.get("r1")).toBe(1);
  expect(indexes(second.events)).toEqual(indexes(first.events));
});

test("who joins from a token on gets those after it, each once", async () => {
  const { table, clock } = createTable();
  table.run(dispatchOf(), collect().follower);
  await clock.advance(60);
  const { events, follower } = collect();
  expect(table.attach("r1", 2, follower)).toBe(true);
  await clock.advance(LONG_TIME);
  expect(indexes(events)).toEqual([2, 3, 4]);
  expect(table.attach("r9", 0, follower)).toBe(false);
});

test("a request that goes on from tokens begins after them and says what it computed again", async () => {
  const { table, clock } = createTable();
  const { events, follower } = collect();
  table.run(dispatchOf({ attempt: 2, tokens: [" word0", " word1"] }), follower);
  await clock.advance(LONG_TIME);
  expect(indexes(events)).toEqual([2, 3, 4]);
  expect(events[0]).toMatchObject({ kind: "started", recomputed: 6 });
});

test("an id that was barred is never run, whoever sends it later", () => {
  // A paused owner wakes up and sends what its successor has already told the caller was not run.
  const { table } = createTable();
  expect(table.query("r1", false)).toBe(EngineKnowledge.Unknown);
  expect(table.query("r1", true)).toBe(EngineKnowledge.Barred);
  expect(table.run(dispatchOf(), collect().follower)).toBe("barred");
  expect(table.runs.get("r1")).toBeUndefined();
});

test("a cancelled request produces nothing more and says so when asked", async () => {
  const { table, clock } = createTable();
  const { events, follower } = collect();
  table.run(dispatchOf(), follower);
  await clock.advance(60);
  table.cancel("r1");
  const before = events.length;
  await clock.advance(LONG_TIME);
  expect(events).toHaveLength(before);
  expect(events.at(-1)).toEqual({ kind: "finished", reason: "cancelled" });
  expect(table.query("r1", false)).toBe(EngineKnowledge.Cancelled);
});

test("an older attempt and, where it is checked, an older fencing number are refused", () => {
  const { table } = createTable(true);
  table.run(dispatchOf({ attempt: 2, fence: 7 }), collect().follower);
  const follower = collect().follower;
  expect(table.run(dispatchOf({ attempt: 1, fence: 7 }), follower)).toBe("old attempt");
  expect(table.run(dispatchOf({ attempt: 3, fence: 6 }), follower)).toBe("old fencing number");
});
