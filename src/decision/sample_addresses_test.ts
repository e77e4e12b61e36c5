import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import { sampleAddresses } from "./sample_addresses.ts";

const LARGE = 1_350;
const SMALL = 324;
const FLEET = Array.from({ length: 195 }, (_, index) => ({
  callers: `10.0.${index >> 8}.${index & 255}:80`,
  capacity: index % 11 === 0 ? LARGE : SMALL,
}));

// Callers use any of the addresses they receive. If all received the same 64 of 195 instances, two
// thirds of the fleet would be idle.
test("lists all instances of a large fleet over time, the larger ones more often", () => {
  const random = createSeededRandom(1);
  const counts = new Map<string, number>();
  for (let answer = 0; answer < 2_000; answer++) {
    const addresses = sampleAddresses(FLEET, { most: 64, random });
    expect(new Set(addresses).size).toBe(64);
    for (const address of addresses) counts.set(address, (counts.get(address) ?? 0) + 1);
  }
  const timesOf = (capacity: number): number[] =>
    FLEET.filter((one) => one.capacity === capacity).map(({ callers }) => counts.get(callers) ?? 0);
  const mean = (times: number[]): number =>
    times.reduce((sum, count) => sum + count, 0) / times.length;
  expect(Math.min(...timesOf(SMALL))).toBeGreaterThan(0.8 * mean(timesOf(SMALL)));
  expect(mean(timesOf(LARGE)) / mean(timesOf(SMALL))).toBeGreaterThan(2);
});

test("returns a small fleet completely and in its order", () => {
  const few = FLEET.slice(0, 9);
  const addresses = sampleAddresses(few, { most: 64, random: createSeededRandom(1) });
  expect(addresses).toEqual(few.map(({ callers }) => callers));
});
