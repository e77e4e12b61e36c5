/**
 * Starts entry instances with the command of the deploy file, as processes of their own, and ends them.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, connect } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** A loopback address of this process: cases that run side by side can't take each other's ports. */
export const HOST = `127.${10 + (process.pid % 240)}.${Math.floor(process.pid / 240) % 250}.1`;

/** The first port that is tried; it is below those that the operating system gives to others. */
const FIRST_PORT = 20_000;
let nextPort = FIRST_PORT;

/** Returns free ports of `host`. Each is returned once. */
export async function freePorts(count, host = HOST) {
  const ports = [];
  while (ports.length < count) {
    const port = nextPort++;
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, host, () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    ports.push(port);
  }
  return ports;
}

/** Processes that were started and may still run. They end with this process, however it ends. */
const children = new Set();
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => process.exit(2));
// Exit code 1 says that the rule was broken; a failure of the case itself doesn't.
for (const event of ["uncaughtException", "unhandledRejection"])
  process.on(event, (error) => {
    console.error(error);
    process.exit(2);
  });

export const sleep = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** The words of `run` in the deploy file. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  return /^run = "([^"]+)"$/m.exec(text)[1].split(" ");
}

/** Settings as the template of the deploy file has them, with the bounds of a small deployment. */
function settingsOf({ name, zone, host, ports, seeds, store, cloud }) {
  const [callers, ready, resolve, peers, metrics] = ports.map((port) => `${host}:${port}`);
  return {
    name,
    zone,
    region: "region",
    listen: { callers, ready, resolve, peers, metrics },
    seeds,
    platform: { store, cloud },
    resolveLife: "5s",
    grace: "8s",
    repeats: { ratio: 0.2, slack: 52, window: "10s" },
    usage: { window: "5s", lateAfter: "10s" },
    leaseTerm: "3000ms",
    placement: { workerSpeeds: "measured", longPrompts: "separated" },
    machine: { memory: "350MB", descriptors: 4200 },
    processor: { share: 0.675, cores: 1 },
  };
}

/**
 * Prepares instances. None runs before `start` is called.
 *
 * @param platform Addresses of the platform, for all or by the index of an instance.
 */
export async function createInstances({ count, host = HOST, store, cloud = store, zones = 3 }) {
  const folder = mkdtempSync(join(tmpdir(), "samphireshore-review-"));
  const addresses = [];
  for (let index = 0; index < count; index++) addresses.push(await freePorts(5, host));
  const seeds = addresses.slice(0, 3).map((ports) => `${host}:${ports[3]}`);
  const valueFor = (value, index) => (typeof value === "function" ? value(index) : value);
  const instances = addresses.map((ports, index) => {
    const file = join(folder, `settings-${index}.jsonc`);
    const name = `edge-${index + 1}`;
    const settings = settingsOf({
      name,
      zone: `zone-${index % zones}`,
      host,
      ports,
      seeds,
      store: valueFor(store, index),
      cloud: valueFor(cloud, index),
    });
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    let child;
    let starts = 0;
    const exits = [];
    return {
      name,
      callers: `${host}:${ports[0]}`,
      ready: `${host}:${ports[1]}`,
      metrics: `${host}:${ports[4]}`,
      exits,
      log: (start = starts) => join(folder, `log-${index}-${start}.jsonl`),
      get process() {
        return child;
      },
      start: () => {
        const [program, ...args] = runCommand();
        starts++;
        const started = spawn(program, args, {
          cwd: ROOT,
          env: { PATH: process.env.PATH, HOME: process.env.HOME, SAMPHIRESHORE_BOOT: file },
          stdio: ["ignore", "pipe", "pipe"],
        });
        const output = createWriteStream(join(folder, `log-${index}-${starts}.jsonl`));
        started.stdout.pipe(output, { end: false });
        started.stderr.pipe(output, { end: false });
        children.add(started);
        started.once("exit", (code, signal) => {
          children.delete(started);
          exits.push({ at: Date.now(), code, signal });
        });
        child = started;
      },
      signal: (signal) => child?.kill(signal),
    };
  });
  return {
    folder,
    instances,
    /** Waits until all instances are ready. Returns whether they are. */
    waitReady: async (within = 10_000) => {
      const until = Date.now() + within;
      for (const { ready } of instances) {
        while (!(await isReady(ready))) {
          if (Date.now() > until) return false;
          await sleep(50);
        }
      }
      return true;
    },
    /** Returns the ends of processes and the last lines of their logs, to explain why a case couldn't run. */
    describe: () =>
      instances.map(({ name, exits, log, ready }) => {
        const lines = readFileSync(log(), "utf8").trim().split("\n").slice(-4);
        return `${name} ${ready} ${JSON.stringify(exits)}\n${lines.join("\n")}`;
      }),
    /** Ends all processes and removes the folder. */
    close: async ({ keep = process.env.KEEP === "1" } = {}) => {
      for (const instance of instances) {
        const { process: child } = instance;
        if (child === undefined || child.exitCode !== null || child.signalCode !== null) continue;
        child.kill("SIGCONT");
        child.kill("SIGKILL");
        await new Promise((resolve) => child.once("exit", resolve));
      }
      if (!keep) rmSync(folder, { recursive: true, force: true });
      else console.log(`logs are in ${folder}`);
    },
  };
}

async function isReady(address) {
  try {
    const response = await fetch(`http://${address}/ready`, { signal: AbortSignal.timeout(500) });
    await response.arrayBuffer();
    return response.status === 200;
  } catch {
    return false;
  }
}

/** Whether a TCP connection to the address is accepted. */
export function accepts(address) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    socket.once("connect", () => {
      socket.destroy();
      resolve(true);
    });
    socket.once("error", () => resolve(false));
  });
}
