import { parseArgs } from "node:util";
import { check } from "./check.ts";
import type { Report } from "./check.ts";

const HELP = `Checks the core protocols against their invariants.

  npm run model -- [--json] [--bound default|large] [--without RULE]

Exits with code 1 on a violation. Example: npm run model -- --without backup-ack`;

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
  else reports.forEach((report) => console.log(formatReport(report)));
  if (reports.some(({ violations }) => violations.length > 0)) process.exitCode = 1;
}

function formatReport({
  specification,
  states,
  depth,
  time,
  complete,
  violations,
}: Report): string {
  const outcome = complete ? "all states" : "stopped";
  const summary = `${specification}: ${states} states, depth ${depth}, ${time} ms, ${outcome}`;
  const traces = violations.map(({ invariant, trace }) =>
    [`  violated: ${invariant}`, ...trace.map((line, index) => `  ${index + 1}. ${line}`)].join(
      "\n",
    ),
  );
  return [summary, ...traces].join("\n");
}
