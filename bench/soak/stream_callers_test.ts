import { expect, test } from "vitest";
import { wholeStream } from "../../platform/testing/worker_standin.ts";
import { isOfOneVersion, partAfter, resumptionHeaders } from "./stream_callers.ts";

const EVENTS = wholeStream(0, "v2").split(/(?<=\n\n)/);

test("a caller keeps the complete events and asks for the rest", () => {
  const body = `${EVENTS.slice(0, 2).join("")}id: 3\nda`;
  const part = partAfter({ id: "a", body }, undefined);
  expect(part).toEqual({
    attempt: "a",
    text: EVENTS.slice(0, 2).join(""),
    lastEventId: "2",
  });
  expect(resumptionHeaders(part)).toEqual({ "Last-Event-Id": "2", Resumes: "a" });
});

test("a further attempt adds its events and keeps the id of the first one", () => {
  const first = partAfter({ id: "a", body: EVENTS.slice(0, 2).join("") }, undefined);
  const second = partAfter({ id: "b", body: EVENTS.slice(2, 3).join("") }, first);
  expect(second).toEqual({
    attempt: "a",
    text: EVENTS.slice(0, 3).join(""),
    lastEventId: "3",
  });
  expect(partAfter({ id: "c", body: "" }, second)).toBe(second);
});

test("an attempt without an event leaves nothing to take up", () => {
  expect(partAfter({ id: "a", body: "id: 1" }, undefined)).toBeUndefined();
  expect(resumptionHeaders(undefined)).toEqual({});
});

test("only events of one version, in order and without gaps, form a stream", () => {
  const whole = wholeStream(0, "v2");
  const mixed = EVENTS.slice(0, 2).join("") + wholeStream(2, "v1");
  expect(isOfOneVersion(whole, { isWhole: true })).toBe(true);
  expect(isOfOneVersion(whole.slice(0, 30), { isWhole: false })).toBe(true);
  expect(isOfOneVersion(whole.slice(0, 30), { isWhole: true })).toBe(false);
  expect(isOfOneVersion(mixed, { isWhole: true })).toBe(false);
  expect(isOfOneVersion(EVENTS.slice(1).join(""), { isWhole: false })).toBe(false);
});
