/**
 * Two built instances of `samphireshore serve` as processes, with stand-ins of the platform and of backend servers.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { startChild } from "../child.ts";
import { BENCH_KEY, BenchService } from "../deployment.ts";
import { createSoakProcesses } from "../soak/processes.ts";
import type { InstanceProcess, SoakProcesses } from "../soak/processes.ts";
import type { StandinsReady } from "../standin_process.ts";
import { watchUsage } from "./usage.ts";
import type { UsagePeaks } from "./usage.ts";

/** Size of the machine, as in the instances' settings, in bytes. */
export const SERVE_MEMORY = 256_000_000;

/** The fleet of one test. */
export interface ServeFleet {
  /** `IP:PORT` for callers of the first instance. */
  readonly callers: string;
  readonly process: InstanceProcess;
  /** The most that the first instance has used since both became ready. */
  readonly peaks: UsagePeaks;
  /** Writes the first instance's output to `dist/crowds` under this name and closes everything. */
  close(name: string): Promise<void>;
}

/** Maximum size of the heap in megabytes, in the proportion of `deploy/system.toml`. */
const HEAP = 160;
/** Node.js arguments that load a TypeScript module in a process that a test starts. */
const TSX = ["--import", "tsx"];
const LOOPBACK = "127.0.0.1:0";
const SECRET = "secret-of-the-crowds";
/** Time after which the instances know each other, in milliseconds. */
const SETTLE_TIME = 1_500;

/** Starts the stand-ins and both instances, and waits until they are ready. */
export async function startServeFleet(): Promise<ServeFleet> {
  const standins = await startChild<StandinsReady>("standin_process", {}, { nodeArguments: TSX });
  const processes = await createSoakProcesses();
  const { platform } = standins.ready;
  const first = await startInstance(processes, { name: "entry-1", platform, seeds: [] });
  await startInstance(processes, { name: "entry-2", platform, seeds: [first.peers] });
  await new Promise((resolve) => setTimeout(resolve, SETTLE_TIME));
  const usage = watchUsage(first.process);
  return {
    callers: first.callers,
    process: first.process,
    peaks: usage.peaks,
    close: async (name) => {
      usage.close();
      writeFileSync(`dist/crowds/${name}.log`, first.process.lastLines.join("\n"));
      await processes.close();
      await standins.close();
    },
  };
}

interface ReadyLine {
  readonly callers: string;
  readonly peers: string;
}

async function startInstance(
  processes: SoakProcesses,
  options: { readonly name: string; readonly platform: string; readonly seeds: readonly string[] },
): Promise<ReadyLine & { readonly process: InstanceProcess }> {
  const { name, platform, seeds } = options;
  const settings = {
    name,
    zone: "local-a",
    region: "local",
    callers: LOOPBACK,
    peers: LOOPBACK,
    seeds,
    platform: { objects: platform, cloud: platform, instances: platform },
    secrets: { operatorKey: SECRET, peerKey: SECRET },
    memory: `${SERVE_MEMORY}B`,
    reread: "30s",
  };
  return new Promise((resolve, reject) => {
    const onLine = (line: string): void => {
      if (line.includes('"ready":true'))
        resolve({ ...(JSON.parse(line) as ReadyLine), process: instance });
    };
    const instance = processes.startInstance(settings, {
      onLine,
      nodeArguments: [`--max-old-space-size=${HEAP}`],
      program: (file) => ["dist/main.cjs", "serve", "--settings", file],
    });
    void instance
      .waitForExit()
      .then(() => reject(new Error(`${name} ended: ${instance.lastLines.join("\n")}`)));
  });
}

/** Returns the head of a chat completion with these additional lines. */
export function chatHead(lines: readonly string[]): Buffer {
  return Buffer.from(
    [
      "POST /v1/chat/completions HTTP/1.1",
      "Host: callers.example",
      `Authorization: Bearer ${BENCH_KEY}`,
      "Content-Type: application/json",
      ...lines,
      "",
      "",
    ].join("\r\n"),
  );
}

/** Returns the text of a chat completion whose prompt has this number of characters. */
export function chatText(characters: number): string {
  const messages = [{ role: "user", content: "x".repeat(characters) }];
  return JSON.stringify({ model: BenchService.Quick, max_tokens: 1, messages });
}

/** Sends an ordinary chat completion. Returns its status, or the error with which it ended. */
export async function askOrdinaryChat(callers: string): Promise<number | string> {
  try {
    const response = await fetch(`http://${callers}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${BENCH_KEY}`, connection: "close" },
      body: chatText(1_000),
    });
    await response.text();
    return response.status;
  } catch (error) {
    return String(error);
  }
}
