import { parseArgs } from "node:util";
import { check } from "./check.ts";
import type { Report } from "./check.ts";

const HELP = `Checks the core protocol against its invariants.

  npm run model -- [--json] [--bound default|large] [--without RULE]

Exit code 1 on a violation. Example: npm run model -- --without backup-ack`;

const { values } = parseArgs({
  options: {
    json: { type: "boolean", default: false },
    bound: { type: "string", default: "default" },
    without: { type: "string" },
    help: { type: "boolean", default: false },
  },
});

if (values.help) {
  console.log(HELP);
} else {
  const bound = values.bound === "large" ? "large" : "default";
  const { without } = values;
  const reports = await check(without === undefined ? { bound } : { bound, without });
  if (values.json) console.log(JSON.stringify({ bound, without, reports }, undefined, 2));
  else reports.forEach((report) => console.log(textOf(report)));
  if (reports.some(({ violations }) => violations.length > 0)) process.exitCode = 1;
}

function textOf({ specification, states, depth, time, complete, violations }: Report): string {
  const extent = complete ? "all states" : "stopped";
  const head = `${specification}: ${states} states, depth ${depth}, ${time} ms, ${extent}`;
  const found = violations.map(({ invariant, trace }) =>
    [`  violated: ${invariant}`, ...trace.map((line, index) => `  ${index + 1}. ${line}`)].join(
      "\n",
    ),
  );
  return [head, ...found].join("\n");
}
