import { expect, test } from "vitest";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createInstanceHashes } from "./instance_hashes.ts";

test("instances find the same hashes, without those that stop, and the same array until they change", async () => {
  const clock = createVirtualClock();
  const instances = [
    { peers: "10.0.0.1:9", ready: true },
    { peers: "10.0.0.2:9", ready: true },
    { peers: "10.0.0.3:9", ready: false },
  ];
  const [first, second, third] = instances.map(({ peers }) =>
    createInstanceHashes({
      clock,
      self: peers,
      others: () => instances.filter((one) => one.peers !== peers),
    }),
  );
  const found = first?.();
  expect(found?.length).toBe(2);
  expect(second?.()).toEqual(found);
  // One that stops still finishes what it has begun, and counts itself.
  expect(third?.().length).toBe(3);
  await clock.advance(1_000);
  expect(first?.()).toBe(found);
  const [, one] = instances;
  if (one !== undefined) one.ready = false;
  await clock.advance(1_000);
  expect(first?.().length).toBe(1);
});
