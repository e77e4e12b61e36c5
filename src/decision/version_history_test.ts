import { expect, test } from "vitest";
import { createVersionHistory } from "./version_history.ts";

const PERIOD = 30_000;
const at = (now: number): { now: number; period: number } => ({ now, period: PERIOD });
const present = (...versions: string[]): Map<string, Set<string>> =>
  new Map([["desk", new Set(versions)]]);

// Guards against a stream whose version counts as certain although the version that began it has just left.
test("a version stays recent for a period after it was last present", () => {
  const history = createVersionHistory();
  history.record(present("v1"), at(0));
  history.record(present("v1", "v2"), at(50_000));
  history.record(present("v2"), at(60_000));
  expect(history.recent("desk", at(89_999)).sort()).toEqual(["v1", "v2"]);
  expect(history.recent("desk", at(90_001))).toEqual(["v2"]);
});

test("a version that stays present is recent however long ago it was recorded", () => {
  const history = createVersionHistory();
  history.record(present("v1"), at(0));
  expect(history.recent("desk", at(1e9))).toEqual(["v1"]);
  history.record(present("v1"), at(1e9));
  expect(history.recent("desk", at(2e9))).toEqual(["v1"]);
});

test("a service is reported once when it gets a second version", () => {
  const history = createVersionHistory();
  expect(history.record(present("v1"), at(0))).toEqual([]);
  expect(history.record(present("v1", "v2"), at(10))).toEqual(["desk"]);
  expect(history.record(present("v1", "v2"), at(20))).toEqual([]);
  expect(history.record(present("v2"), at(30))).toEqual([]);
  expect(history.record(present("v2", "v3"), at(40_000))).toEqual(["desk"]);
});

// Guards against an instance that has just started and takes the versions that it finds for all that there were.
test("covers the period only when it has been kept for as long", () => {
  const history = createVersionHistory();
  expect(history.coversPeriod(at(1e9))).toBe(false);
  history.record(present("v1"), at(0));
  expect(history.coversPeriod(at(29_999))).toBe(false);
  expect(history.coversPeriod(at(30_000))).toBe(true);
});

test("a service without workers has no recent version after the period", () => {
  const history = createVersionHistory();
  history.record(present("v1"), at(0));
  history.record(new Map(), at(10));
  expect(history.recent("desk", at(20))).toEqual(["v1"]);
  expect(history.recent("desk", at(40_000))).toEqual([]);
});

// Guards against a version that left before the history began, and whose streams may still be taken up.
test("an inherited version stays recent for a period, and a present one as long as it is present", () => {
  const history = createVersionHistory();
  history.record(present("v2"), at(0));
  expect(history.inherit(present("v1", "v2"), at(10))).toEqual(["desk"]);
  expect(history.all(at(30_010))).toEqual(present("v2", "v1"));
  expect(history.all(at(30_011))).toEqual(present("v2"));
  expect(history.coversPeriod(at(30_000))).toBe(true);
});
