// Decides whether CI passes although tests failed: `node .ci/known_red.mjs FAILURES_FILE`.
//
// It passes only if the run was complete and KNOWN-RED.txt lists every failed test, in a line that contains the path
// of its file and its title in quotes. If `, with "TEXT"` follows the title, every error of the test must contain TEXT.
// The failed tests are printed.
import { readFileSync } from "node:fs";

const { reason, tests, otherErrors } = JSON.parse(readFileSync(process.argv[2], "utf8"));
const entries = readFileSync("KNOWN-RED.txt", "utf8")
  .split("\n")
  .filter((line) => !line.startsWith("#"));
const coversFailure = (entry, { file, title, messages }) => {
  const quoted = `"${title}"`;
  if (!entry.split(/\s/).includes(file) || !entry.includes(quoted)) return false;
  const rest = entry.slice(entry.indexOf(quoted) + quoted.length);
  const [, text = ""] = /^, with "([^"]*)"/.exec(rest) ?? [];
  return messages.every((message) => message.includes(text));
};
const isListed = (test) => entries.some((entry) => coversFailure(entry, test));
const unlisted = tests.filter((test) => !isListed(test));
for (const test of tests) {
  console.log(
    `${isListed(test) ? "failed, listed in" : "failed, not in"} KNOWN-RED.txt: ${test.file} "${test.title}"`,
  );
}
for (const message of otherErrors) console.log(`error outside a test: ${message}`);
// Without failed tests, the run ended with an error for another reason.
const isComplete = reason !== "interrupted" && otherErrors.length === 0 && tests.length > 0;
process.exitCode = isComplete && unlisted.length === 0 ? 0 : 1;
