import { expect, test } from "vitest";
import { startCoreFleet } from "./testing/core_fleet.ts";
import type { Answer, CoreFleet } from "./testing/core_fleet.ts";

/** Enough keys that most slots get one. */
const KEY_COUNT = 1_000;
/** Milliseconds between two submissions, so that the fleet is never overloaded. */
const SUBMIT_INTERVAL = 20;

async function submitKeys(
  fleet: CoreFleet,
  { prefix, repeatable }: { prefix: string; repeatable: boolean },
): Promise<Answer[]> {
  const answers: Answer[] = [];
  for (let index = 0; index < KEY_COUNT; index++) {
    const submission = { key: `${prefix}-${index}`, repeatable, body: '{"max_tokens":2}' };
    answers.push(fleet.submit(index % 2, submission));
    await fleet.clock.advance(SUBMIT_INTERVAL);
  }
  await fleet.clock.advance(10_000);
  return answers;
}

// Slots move to a new instance before it has their records, and their new requests are refused as "may have run".
test("requests with new keys are accepted in all slots after an instance has joined", async () => {
  const fleet = await startCoreFleet(2);
  await submitKeys(fleet, { prefix: "before", repeatable: true });
  await fleet.join();
  const answers = await submitKeys(fleet, { prefix: "after", repeatable: false });
  const failed = answers.filter(({ end }) => end !== "complete");
  expect(failed).toEqual([]);
  expect(fleet.core(2).configuration.slotMap().slots).toEqual(
    expect.arrayContaining([expect.objectContaining({ primary: "e2#1" })]),
  );
  fleet.close();
});
