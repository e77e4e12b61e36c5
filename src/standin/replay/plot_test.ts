import { expect, test } from "vitest";
import { plotReplay } from "./plot.ts";
import { PolicyName, getPolicy } from "./policy.ts";
import { replay } from "./replay.ts";
import type { Sample } from "./sample.ts";
import { sampleTrace } from "./sample_trace.ts";

test("a plot has a line for each group, each purchase option and the cost, and marks the faults", () => {
  const trace = sampleTrace([{ kind: "reclaim", t: 30_000, within: 3_000, zone: "sofia-a" }]);
  const samples: Sample[] = [];
  const sample = (newSample: Sample): void => void samples.push(newSample);
  replay(trace, { policy: getPolicy(PolicyName.Current), seed: 1, onSample: sample });
  expect(samples.length).toBeGreaterThan(5);
  const plot = plotReplay(trace, samples);
  expect(plot.match(/<polyline /g)).toHaveLength(4);
  expect(plot).toContain("reclaim</text>");
  expect(plot).toContain("desk/script");
});

test("samples don't change the report", () => {
  const trace = sampleTrace([]);
  const options = { policy: getPolicy(PolicyName.Current), seed: 1 };
  const sampled = replay(trace, { ...options, onSample: () => undefined });
  expect(sampled).toEqual(replay(trace, options));
});
