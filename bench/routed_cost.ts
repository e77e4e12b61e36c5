/**
 * Measures the processor time and memory of the built entry instance: at its start, per request and per streamed event.
 *
 * The benchmark starts `target/entry.cjs` with stand-ins of the platform and of one backend server, sends requests
 * over loopback and reads the instance's processor time from `/proc`. It prints one JSON object. Run
 * `node build.mjs platform` first.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CLIENT_KEY, configuration } from "../platform/testing/entry_fleet.ts";
import { startPlatformStandin } from "../platform/testing/platform_standin.ts";
import { startWorkerStandin } from "../platform/testing/worker_standin.ts";

/** Number of measured requests of each kind. */
const REQUEST_COUNT = 4_000;
/** Number of concurrent requests. */
const CONCURRENCY = 16;
/** Number of unmeasured requests before each measurement. */
const WARM_UP_REQUESTS = 1_000;
/** Number of events in one stream of the backend server stand-in. */
const EVENTS_PER_STREAM = 6;
const FIRST_PORT = 28_300;
/** Unit of the processor times in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Returns the processor time that a process has used, in seconds. */
function processorSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

/** Returns the resident set size of a process, in mebibytes. */
function residentMebibytes(pid: number): number {
  const line = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
  return Math.round(Number(line?.[1] ?? 0) / 1_024);
}

/** Prints the cost of a start, a routed request and a streamed event. */
async function main(): Promise<void> {
  const platform = await startPlatformStandin();
  const worker = await startWorkerStandin("i-0", "desk");
  platform.put("servers", worker.id, worker.entry({ slots: 64 }));
  platform.put("config", "main", configuration(1));
  const at = (offset: number): string => `127.0.0.1:${FIRST_PORT + offset}`;
  const file = join(mkdtempSync(join(tmpdir(), "routed-cost-")), "settings.jsonc");
  writeFileSync(
    file,
    JSON.stringify({
      name: "edge-0",
      zone: "zone-a",
      region: "region",
      listen: { callers: at(0), ready: at(1), resolve: at(2), peers: at(3) },
      seeds: [],
      platform: { store: platform.address, cloud: platform.address },
      resolveLife: "5s",
      grace: "8s",
      repeats: { ratio: 0.2, slack: 50, window: "10s" },
      usage: { window: "5s", lateAfter: "10s" },
      leaseTerm: "3s",
    }),
  );
  const startedAt = performance.now();
  const child = spawn(process.execPath, ["target/entry.cjs"], {
    env: { ...process.env, SAMPHIRESHORE_BOOT: file },
    stdio: ["ignore", "ignore", "inherit"],
  });
  const pid = child.pid ?? 0;
  const agent = new Agent({ keepAlive: true, maxSockets: CONCURRENCY });
  while ((await sendRequest(agent, "/safe/x")) !== 200)
    await new Promise((resolve) => setTimeout(resolve, 2));
  const firstServed = Math.round(performance.now() - startedAt);
  const start = {
    firstServed,
    processor: processorSeconds(pid),
    megabytes: residentMebibytes(pid),
  };
  await sendLoad(agent, { path: "/safe/x", count: WARM_UP_REQUESTS });
  const plain = await measureCost(pid, () =>
    sendLoad(agent, { path: "/safe/x", count: REQUEST_COUNT }),
  );
  await sendLoad(agent, { path: "/stream/x", count: WARM_UP_REQUESTS });
  const stream = await measureCost(pid, () =>
    sendLoad(agent, { path: "/stream/x", count: REQUEST_COUNT }),
  );
  const report = {
    start,
    plainMicroseconds: plain,
    streamMicroseconds: stream,
    eventMicroseconds: Math.round((stream - plain) / EVENTS_PER_STREAM),
    megabytes: residentMebibytes(pid),
  };
  console.log(JSON.stringify(report));
  child.kill("SIGKILL");
  agent.destroy();
  await worker.close();
  await platform.close();
}

/** Returns the processor time that the process uses per request, in microseconds. */
async function measureCost(pid: number, run: () => Promise<void>): Promise<number> {
  const before = processorSeconds(pid);
  await run();
  return Math.round(((processorSeconds(pid) - before) * MICROSECONDS_PER_SECOND) / REQUEST_COUNT);
}

async function sendLoad(
  agent: Agent,
  { path, count }: { path: string; count: number },
): Promise<void> {
  let remaining = count;
  const sendSequentially = async (): Promise<void> => {
    while (remaining-- > 0) await sendRequest(agent, path);
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, sendSequentially));
}

/** Sends one request; resolves to its status, or to 0 if the connection fails. */
function sendRequest(agent: Agent, path: string): Promise<number> {
  return new Promise((resolve) => {
    const headers = {
      host: "desk.example",
      "api-key": CLIENT_KEY,
      "x-request-id": Math.random().toString(16).slice(2),
      "x-request-deadline": "2000",
    };
    const sent = request(
      { host: "127.0.0.1", port: FIRST_PORT, path, agent, headers },
      (answer) => {
        answer.resume();
        answer.on("close", () => resolve(answer.statusCode ?? 0));
      },
    );
    sent.on("error", () => resolve(0));
    sent.end();
  });
}

await main();
