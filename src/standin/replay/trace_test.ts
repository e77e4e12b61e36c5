import { expect, test } from "vitest";
import { sampleHeader } from "./sample_trace.ts";
import { parseTrace } from "./trace.ts";

const ARRIVAL = { t: 5, a: "club", s: "desk", p: 10, n: 3 };

function parseLines(...lines: readonly (string | object)[]): ReturnType<typeof parseTrace> {
  const texts = lines.map((line) => (typeof line === "string" ? line : JSON.stringify(line)));
  return parseTrace([sampleHeader(), ...texts, ""].join("\n"), "night.jsonl");
}

test("arrivals and faults are sorted by time", () => {
  const result = parseLines({ ...ARRIVAL, t: 9 }, ARRIVAL, {
    kind: "reclaim",
    t: 3,
    within: 100,
    zone: "sofia-a",
  });
  expect(result).toMatchObject({
    kind: "read",
    trace: { arrivals: [{ t: 5 }, { t: 9 }], faults: [{ kind: "reclaim" }] },
  });
});

test.each([
  ["a line that is not JSON", "{"],
  ["an unknown field", { ...ARRIVAL, colour: "red" }],
  ["a wrong type", { ...ARRIVAL, p: "many" }],
  ["an unknown service", { ...ARRIVAL, s: "tent" }],
  ["an unknown account", { ...ARRIVAL, a: "nobody" }],
  ["an unknown fault", { kind: "flood", t: 1 }],
  ["a fault in an unknown zone", { kind: "reclaim", t: 1, within: 1, zone: "gent-a" }],
])("%s is rejected with its line number", (_name, line) => {
  expect(parseLines(ARRIVAL, line)).toMatchObject({ kind: "unreadable", line: 3 });
});

test("a file without a header is rejected at its first line", () => {
  expect(parseTrace(JSON.stringify(ARRIVAL), "night.jsonl")).toMatchObject({
    kind: "unreadable",
    file: "night.jsonl",
    line: 1,
  });
});
