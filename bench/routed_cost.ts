import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CLIENT_KEY, configuration } from "../platform/testing/entry_fleet.ts";
import { startPlatformStandin } from "../platform/testing/platform_standin.ts";
import { startWorkerStandin } from "../platform/testing/worker_standin.ts";

/** Requests of each kind, and how many are in progress at once. */
const REQUESTS = 4_000;
const AT_ONCE = 16;
const WARM_UP = 1_000;
/** Events of one stream of the worker stand-in. */
const EVENTS = 6;
const FIRST_PORT = 28_300;
const TICKS_PER_SECOND = 100;
const MICROSECONDS = 1_000_000;

/** Processor seconds that a process has used. */
function processorSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

/** Resident megabytes of a process. */
function residentMegabytes(pid: number): number {
  const line = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
  return Math.round(Number(line?.[1] ?? 0) / 1_024);
}

/** Prints what a start, a routed request and a streamed event cost an entry instance as it is built for a platform. */
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
  const agent = new Agent({ keepAlive: true, maxSockets: AT_ONCE });
  while ((await ask(agent, "/safe/x")) !== 200)
    await new Promise((resolve) => setTimeout(resolve, 2));
  const firstServed = Math.round(performance.now() - startedAt);
  const start = {
    firstServed,
    processor: processorSeconds(pid),
    megabytes: residentMegabytes(pid),
  };
  await load(agent, { path: "/safe/x", count: WARM_UP });
  const plain = await costOf(pid, () => load(agent, { path: "/safe/x", count: REQUESTS }));
  await load(agent, { path: "/stream/x", count: WARM_UP });
  const stream = await costOf(pid, () => load(agent, { path: "/stream/x", count: REQUESTS }));
  const report = {
    start,
    plainMicroseconds: plain,
    streamMicroseconds: stream,
    eventMicroseconds: Math.round((stream - plain) / EVENTS),
    megabytes: residentMegabytes(pid),
  };
  console.log(JSON.stringify(report));
  child.kill("SIGKILL");
  agent.destroy();
  await worker.close();
  await platform.close();
}

/** Microseconds of the process's processor time a request. */
async function costOf(pid: number, run: () => Promise<void>): Promise<number> {
  const before = processorSeconds(pid);
  await run();
  return Math.round(((processorSeconds(pid) - before) * MICROSECONDS) / REQUESTS);
}

async function load(agent: Agent, { path, count }: { path: string; count: number }): Promise<void> {
  let left = count;
  const lane = async (): Promise<void> => {
    while (left-- > 0) await ask(agent, path);
  };
  await Promise.all(Array.from({ length: AT_ONCE }, lane));
}

/** Asks once; 0 where nobody answers. */
function ask(agent: Agent, path: string): Promise<number> {
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
