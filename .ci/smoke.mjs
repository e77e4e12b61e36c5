// Smoke test of the built binary: the help of the commands listed below, a deployment, one response and one preset
// switch.
import assert from "node:assert/strict";
import { execFile, spawn } from "node:child_process";
import { promisify } from "node:util";

const BINARY = "dist/samphireshore";
const COMMANDS = [
  "apply",
  "change",
  "check",
  "demo",
  "dev",
  "drain",
  "init",
  "preset list",
  "preset use",
  "replay",
  "request",
  "routed",
  "serve",
  "services",
  "standin",
  "status",
];
const CLIENT_KEY = "client-key-of-the-smoke-run";
const run = promisify(execFile);

// A command whose help fails is unusable for new users.
for (const command of COMMANDS) {
  const { stdout, stderr } = await run(BINARY, [...command.split(" "), "--help"]);
  assert.match(stdout, /USAGE/, command);
  assert.doesNotMatch(stderr, /Error/, command);
}

const child = spawn(BINARY, ["dev", "--port", "0", "--client-key", CLIENT_KEY], {
  stdio: ["ignore", "pipe", "inherit"],
});
const [line] = await new Promise((resolve) => {
  child.stdout.once("data", (data) => resolve(String(data).split("\n")));
});
const { callers, operatorKey } = JSON.parse(line);
try {
  const answer = await fetch(`http://${callers[0]}/v1/chat/completions`, {
    method: "POST",
    headers: { "content-type": "application/json", authorization: `Bearer ${CLIENT_KEY}` },
    body: JSON.stringify({
      model: "finish-desk",
      stream: true,
      max_tokens: 3,
      messages: [{ role: "user", content: "chip 9" }],
    }),
  });
  assert.equal(answer.status, 200);
  assert.match(await answer.text(), /data: \[DONE\]/);
  const switched = await run(BINARY, [
    "preset",
    "use",
    "peak",
    "--wait",
    "--entry",
    callers[0],
    "--operator-key",
    operatorKey,
  ]);
  assert.match(switched.stdout, /^accepted/);
  console.log("smoke run of the built binary: passed");
} finally {
  child.kill("SIGTERM");
}
