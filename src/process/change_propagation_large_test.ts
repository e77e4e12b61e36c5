import { expect, test } from "vitest";
import { measurePropagation, startChangeFleet } from "./testing/news_fleet.ts";

/**
 * Maximum time in milliseconds from the store's acknowledgement until every instance has the
 * change: a third of the shortest required bound.
 */
const BOUND = 1_000;
/**
 * Test timeout in milliseconds. Hundreds of instances in one process take half a minute on a busy
 * machine.
 */
const TEST_TIMEOUT = 240_000;

// A worker may stop three seconds after it announces that it is leaving. Requests sent to it after
// that are lost.
test.each([195, 300])(
  "a store change reaches each of %i instances within a second",
  async (size) => {
    const fleet = await startChangeFleet(size);
    try {
      expect(await measurePropagation(fleet, ["one"])).toBeLessThanOrEqual(BOUND);
      expect(await measurePropagation(fleet, ["two"])).toBeLessThanOrEqual(BOUND);
    } finally {
      fleet.close();
    }
  },
  TEST_TIMEOUT,
);
