import { expect, test } from "vitest";
import { createVirtualClock } from "../standin/memory/index.ts";
import { createInstanceHashes } from "./instance_hashes.ts";

test("instances compute the same hashes, without stopping instances, and reuse the array until a change", async () => {
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
      otherInstances: () => instances.filter((one) => one.peers !== peers),
    }),
  );
  const found = first?.();
  expect(found?.length).toBe(2);
  expect(second?.()).toEqual(found);
  // A stopping instance still finishes its requests, so it includes itself.
  expect(third?.().length).toBe(3);
  await clock.advance(1_000);
  expect(first?.()).toBe(found);
  const [, one] = instances;
  if (one !== undefined) one.ready = false;
  await clock.advance(1_000);
  expect(first?.().length).toBe(1);
});
