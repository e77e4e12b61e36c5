import { describe, expect, test } from "vitest";
import { ObjectExcess } from "../interface/index.ts";
import type { FeedObject } from "../interface/index.ts";
import { DOCUMENT_LIMITS, ENTRY_LIMITS, MAX_NAME_LENGTH } from "./object_limits.ts";
import { isUsableName, limitObject } from "./object_limits.ts";

function objectOf(json: string, fields: Partial<FeedObject> = {}): FeedObject {
  return { name: "i-1", version: 3, value: JSON.parse(json), ...fields };
}

const nestedArray = (levels: number): string => "[".repeat(levels) + "]".repeat(levels);
const nestedObject = (levels: number): string => `${'{"a":'.repeat(levels)}1${"}".repeat(levels)}`;
const fields = (count: number, length: number): string =>
  JSON.stringify(
    Object.fromEntries(Array.from({ length: count }, (_, at) => [`${at}`.padEnd(length, "k"), at])),
  );

/** Values that another program may have written. */
const EXCESSIVE: [title: string, json: string, excess: ObjectExcess][] = [
  ["an array of 500,000 levels", nestedArray(500_000), ObjectExcess.Depth],
  ["an object of 150,000 levels", nestedObject(150_000), ObjectExcess.Depth],
  ["levels within a field", `{"id":"a","other":${nestedArray(20_000)}}`, ObjectExcess.Depth],
  ["levels under __proto__", `{"__proto__":${nestedObject(20_000)}}`, ObjectExcess.Depth],
  ["a long text", JSON.stringify({ zone: "x".repeat(1_000_000) }), ObjectExcess.Size],
  ["a long field name", JSON.stringify({ ["x".repeat(1_000_000)]: 1 }), ObjectExcess.Size],
  ["20,000 fields", fields(20_000, 8), ObjectExcess.Size],
  ["500,000 elements", JSON.stringify(Array.from({ length: 500_000 }, () => 1)), ObjectExcess.Size],
];

// Guards against an entry that ends an instance wherever it is written as JSON, or that fills its memory.
describe("an object is followed without its value if it holds", () => {
  test.each(EXCESSIVE)("%s", (_title, json, excess) => {
    expect(limitObject(objectOf(json), ENTRY_LIMITS)).toEqual({
      name: "i-1",
      version: 3,
      value: null,
      excess,
    });
  });

  test("levels in its status", () => {
    const object = objectOf("{}", { status: JSON.parse(nestedArray(20_000)) });
    const limited = limitObject(object, ENTRY_LIMITS);
    expect(limited.excess).toBe(ObjectExcess.Depth);
    expect(limited).not.toHaveProperty("status");
  });
});

// Guards against a limit below what the store accepts, which would keep a large configuration from coming into force.
test("a configuration as large as the store allows is accepted", () => {
  const json = JSON.stringify({
    keys: Array.from({ length: 46_000 }, (_, at) => `key-${at}-${"\n".repeat(4)}`),
  });
  expect(json.length).toBeLessThan(1_048_576);
  expect(json.length).toBeGreaterThan(900_000);
  const object = objectOf(json);
  expect(limitObject(object, DOCUMENT_LIMITS)).toBe(object);
  expect(limitObject(object, ENTRY_LIMITS).excess).toBe(ObjectExcess.Size);
});

test("unknown fields with nested values are kept", () => {
  const object = objectOf(
    `{"models":[{"name":"m","adapters":["a","b"]}],"other":${nestedArray(20)}}`,
  );
  expect(limitObject(object, ENTRY_LIMITS)).toBe(object);
});

// Guards against a name that can't be sent to the store or to other instances, or that fills each of their datagrams.
test.each([
  ["longer than the limit", "x".repeat(MAX_NAME_LENGTH + 1)],
  ["with a lone surrogate", "i-\ud800"],
])("a name is unusable if it is %s", (_title, name) => {
  expect(isUsableName(name)).toBe(false);
});

test("names outside of the first 65,536 characters of Unicode are usable", () => {
  expect(isUsableName("i-\u{1f600}")).toBe(true);
});
