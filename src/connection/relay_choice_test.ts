import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createRelayChoice } from "./relay_choice.ts";

const TARGET = "127.0.0.1:1";

test("at most three instances are asked, and all of them in turn", () => {
  const relays = ["a", "b", "c", "d", "e"];
  const choice = createRelayChoice({
    clock: createVirtualClock(),
    random: createSeededRandom(1),
    relays: () => relays,
  });
  const asked = new Set<string>();
  for (let count = 0; count < 50; count++) {
    const chosen = choice.choose(TARGET);
    expect(chosen.length).toBe(3);
    for (const relay of chosen) asked.add(relay);
  }
  expect([...asked].sort()).toEqual(relays);
});

// Guards against asking no one when the only instance with a path has failed once.
test("an instance that failed is asked last, and as before after a second", async () => {
  const clock = createVirtualClock();
  const choice = createRelayChoice({
    clock,
    random: createSeededRandom(1),
    relays: () => ["a", "b", "c"],
  });
  choice.recordFailed("a");
  choice.recordFailed("b");
  expect(choice.choose(TARGET)[0]).toBe("c");
  expect(choice.choose(TARGET).sort()).toEqual(["a", "b", "c"]);
  await clock.advance(1_000);
  const first = new Set(Array.from({ length: 50 }, () => choice.choose(TARGET)[0]));
  expect([...first].sort()).toEqual(["a", "b", "c"]);
});

test("without other instances, no one is asked", () => {
  const choice = createRelayChoice({
    clock: createVirtualClock(),
    random: createSeededRandom(1),
    relays: () => [],
  });
  expect(choice.hasAny()).toBe(false);
  expect(choice.choose(TARGET)).toEqual([]);
});

// Guards against requests that each wait for the same paused instance.
test("an instance that was silent isn't asked for a second", async () => {
  const clock = createVirtualClock();
  const random = createSeededRandom(1);
  const choice = createRelayChoice({ clock, random, relays: () => ["a", "b"] });
  choice.recordSilent("a");
  await clock.advance(999);
  expect(choice.choose(TARGET)).toEqual(["b"]);
  await clock.advance(1);
  expect(choice.choose(TARGET).sort()).toEqual(["a", "b"]);
});

// Guards against requests that find none of the few instances of a large fleet that reach a worker.
test("an instance that reached the target is asked again for it, and for no other one", () => {
  const relays = Array.from({ length: 300 }, (_, index) => `relay-${index}`);
  const choice = createRelayChoice({
    clock: createVirtualClock(),
    random: createSeededRandom(1),
    relays: () => relays,
  });
  choice.recordOpened("relay-7", TARGET);
  const first = new Set(Array.from({ length: 50 }, () => choice.choose(TARGET)[0]));
  expect(first.size).toBeGreaterThan(25);
  expect(choice.choose(TARGET)).toContain("relay-7");
  const other = Array.from({ length: 50 }, () => choice.choose("127.0.0.1:2")).flat();
  expect(other.filter((relay) => relay === "relay-7").length).toBeLessThan(5);
});
