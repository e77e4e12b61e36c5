/**
 * Starts a small deployment for a test: entry instances with the command of the deploy file, stand-in workers and the
 * stand-in platform, all on loopback addresses. Records what was sent, answered and run.
 */
import { fork, spawn } from "node:child_process";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
  writeSync,
} from "node:fs";
import { Agent, request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { startPlatform } from "./platform.mjs";

/** Whether the test runs with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";
export const HOST_NAME = "club.example";
export const API_KEY = "key-of-the-club";
const BROKEN = 1;
const NOT_RUN = 2;
/** Milliseconds after which a test ends itself. */
const MAX_DURATION = 112_000;
const PORTS = { front: 8221, ready: 8224, control: 8229, directory: 8220, metrics: 7600 };
const WORKER_PORT = 8080;
const PLATFORM_PORT = 8225;

export const sleep = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds));

/**
 * Runs a test and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the test couldn't run.
 *
 * @param folder Folder of the case, to which the record is written.
 * @param test Returns whether the rule held.
 */
export async function runCase(folder, test) {
  const recordFile = openSync(path.join(folder, "record.txt"), "w");
  const startedAt = Date.now();
  const record = (text) => {
    writeSync(recordFile, `${String(Date.now() - startedAt).padStart(6)} ms  ${text}\n`);
  };
  const say = (text) => {
    record(text);
    console.log(text);
  };
  const deployment = createDeployment(record);
  let code = NOT_RUN;
  const timeout = setTimeout(() => {
    say("the test did not end in time");
    void deployment.close().then(() => process.exit(NOT_RUN));
  }, MAX_DURATION);
  for (const signal of ["SIGINT", "SIGTERM"])
    process.on(signal, () => void deployment.close().then(() => process.exit(NOT_RUN)));
  try {
    say(HAS_TROUBLE ? "with the disruption" : "without the disruption");
    code = (await test(deployment, { record, say })) ? 0 : BROKEN;
    say(code === 0 ? "the rule held" : "the rule was broken");
  } catch (error) {
    say(`the case could not run: ${error.stack}`);
  }
  clearTimeout(timeout);
  await deployment.close();
  closeSync(recordFile);
  process.exit(code);
}

function createDeployment(record) {
  const root = process.cwd();
  const folder = mkdtempSync(path.join(tmpdir(), "review-"));
  const guard = fork(new URL("guard.mjs", import.meta.url), [], { stdio: "ignore" });
  const children = new Set();
  const usedHosts = new Set();
  const instances = [];
  const workers = [];
  let platform;
  let isClosed = false;

  const track = (child) => {
    children.add(child);
    if (guard.connected) guard.send({ pid: child.pid, isStarted: true });
    child.on("exit", () => {
      children.delete(child);
      if (guard.connected) guard.send({ pid: child.pid, isStarted: false });
    });
  };
  const reserveHost = async (ports) => {
    for (let tries = 0; tries < 200; tries++) {
      const part = () => 2 + Math.floor(Math.random() * 250);
      const host = `127.${64 + Math.floor(Math.random() * 128)}.${part()}.${part()}`;
      if (usedHosts.has(host)) continue;
      if (!(await areFree(host, ports))) continue;
      usedHosts.add(host);
      return host;
    }
    throw new Error("no free loopback address was found");
  };
  const renderSettings = (instance) => {
    const template = readFileSync(path.join(root, "deploy/entry.jsonc.template"), "utf8");
    return render(template, instance.settings);
  };
  const spawnInstance = (instance) => {
    const file = path.join(folder, `${instance.name}.jsonc`);
    writeFileSync(file, renderSettings(instance));
    const [program, ...args] = deployCommand(root);
    const log = openSync(path.join(folder, `${instance.name}.log`), "a");
    const child = spawn(program, args, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, SAMPHIRESHORE_BOOT: file },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    track(child);
    instance.child = child;
    instance.startedAt = Date.now();
    record(`instance ${instance.name} started, process ${child.pid}`);
    const pids = instances.map(({ child: { pid } }) => pid);
    for (const worker of workers) worker.send({ instances: pids });
    child.on("exit", (code, signal) => {
      record(`instance ${instance.name}, process ${child.pid}, ended: ${signal ?? code}`);
      instance.onExit?.({ code, signal });
      if (!isClosed && instance.restartDelay !== undefined)
        setTimeout(() => void (isClosed || spawnInstance(instance)), instance.restartDelay);
    });
  };
  return {
    instances,
    workers,
    get platform() {
      return platform;
    },
    startPlatform: async (config) => {
      platform = await startPlatform(await reserveHost([PLATFORM_PORT]), PLATFORM_PORT);
      platform.put("config", "main", config);
      return platform;
    },
    /** Starts a worker and registers it. `onRecord` gets what it records. */
    startWorker: async (name, { service, slots = 48, zone = "zone-a", onRecord, ...options }) => {
      const host = await reserveHost([WORKER_PORT]);
      const startedAt = Date.now();
      const worker = { name, host, startedAt, records: [] };
      const settings = { id: name, host, port: WORKER_PORT, startedAt, ...options };
      const file = new URL("worker.mjs", import.meta.url);
      const child = fork(file, [JSON.stringify(settings)], { stdio: "ignore" });
      track(child);
      worker.child = child;
      worker.send = (command) => child.connected && child.send(command);
      await new Promise((resolve, reject) => {
        child.on("exit", () => reject(new Error(`worker ${name} ended`)));
        child.on("message", (message) => {
          if (message.kind === "ready") resolve();
          const { worker: _, at, ...rest } = message;
          worker.records.push(message);
          record(`worker ${name}: ${JSON.stringify(rest)}`);
          onRecord?.(message);
        });
      });
      worker.register = () =>
        platform.put("servers", name, {
          ...{ service, address: `${host}:${WORKER_PORT}`, zone, version: "v1", slots },
          ...{ state: "ready", cold_remaining_ms: 0, sequence: 1, born: startedAt },
        });
      worker.register();
      workers.push(worker);
      return worker;
    },
    /** Starts instances with the settings of a small deployment and waits until they are ready. */
    startInstances: async (count, { restartDelay } = {}) => {
      const hosts = [];
      for (let index = 0; index < count; index++)
        hosts.push(await reserveHost(Object.values(PORTS)));
      const seeds = hosts.slice(0, 3).map((host) => `${host}:${PORTS.control}`);
      for (const [index, host] of hosts.entries()) {
        const name = `edge-${index + 1}`;
        const zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        const settings = settingsOf({ name, host, zone, seeds, platform: platform.address });
        const instance = { name, host, settings, restartDelay, front: `${host}:${PORTS.front}` };
        instance.ready = `${host}:${PORTS.ready}`;
        instance.logFile = path.join(folder, `${name}.log`);
        instance.readLog = () => readFileSync(instance.logFile, "utf8");
        instances.push(instance);
        spawnInstance(instance);
      }
      const until = Date.now() + 15_000;
      for (const instance of instances) await waitUntilReady(instance, until);
      // Instances learn of each other and of all workers within a second.
      await sleep(1_500);
    },
    close: async () => {
      if (isClosed) return;
      isClosed = true;
      const ended = [...children].map(
        (child) =>
          new Promise((resolve) => {
            child.on("exit", resolve);
            child.kill("SIGKILL");
          }),
      );
      await Promise.all(ended);
      guard.disconnect();
      await platform?.close();
      if (process.env.KEEP_LOGS === "1") record(`logs are kept`);
      else rmSync(folder, { recursive: true, force: true });
    },
    folder,
  };
}

/** Returns the words of the deploy file's `run` command. */
function deployCommand(root) {
  const text = readFileSync(path.join(root, "deploy/system.toml"), "utf8");
  const run = /^run\s*=\s*"([^"]+)"/m.exec(text)?.[1];
  if (run === undefined) throw new Error("the deploy file has no run command");
  return run.split(" ");
}

/** The fields with which the platform fills in a template, with the figures of a small deployment. */
function settingsOf({ name, host, zone, seeds, platform }) {
  return {
    node: name,
    role: "entry",
    machine_class: "edge",
    ip: host,
    zone,
    region: "region",
    internal_ports: [PORTS.metrics, PORTS.metrics + 15],
    seeds,
    listen: {
      front: `${host}:${PORTS.front}`,
      ready: `${host}:${PORTS.ready}`,
      control: `${host}:${PORTS.control}`,
      directory: `${host}:${PORTS.directory}`,
    },
    limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4_200, link_mbps: 1_000 },
    bounds: {
      ...{ contact_ms: 3_000, drain_ms: 2_000, grace_s: 8, lost_ms: 200, config_ms: 2_000 },
      ...{ retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_slack: 52 },
      ...{ lease_ms: 3_000, window_s: 5, usage_late_s: 10, recover_s: 12, ttl_max_s: 5 },
    },
    provider: { address: platform },
    cloud: { address: platform },
  };
}

/** Fills in a template as the platform's pages describe it: values, values as JSON, and sections. */
function render(template, fields) {
  const valueAt = (name) => name.split(".").reduce((value, key) => value?.[key], fields);
  const withSections = template.replace(
    /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g,
    (_, kind, name, inner) => {
      const value = valueAt(name);
      const isPresent = value !== undefined && value !== false;
      return isPresent === (kind === "#") ? inner : "";
    },
  );
  return withSections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) => {
    const value = valueAt(name);
    if (json !== undefined) return JSON.stringify(value ?? null);
    return value === undefined ? "" : String(value);
  });
}

async function waitUntilReady(instance, until) {
  for (;;) {
    if (Date.now() > until) throw new Error(`${instance.name} did not become ready`);
    const isReady = await new Promise((resolve) => {
      const [host, port] = instance.ready.split(":");
      const sent = httpRequest({ host, port, path: "/ready", agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      sent.on("error", () => resolve(false));
      sent.end();
    });
    if (isReady) return;
    await sleep(50);
  }
}

function areFree(host, ports) {
  return Promise.all(
    ports.map(
      (port) =>
        new Promise((resolve) => {
          const server = createServer();
          server.once("error", () => resolve(false));
          server.listen(port, host, () => server.close(() => resolve(true)));
        }),
    ),
  ).then((results) => results.every(Boolean));
}

let requestCount = 0;

/**
 * Sends one attempt of a client to an instance.
 *
 * @returns The answer: `status` is 0 without one; `isComplete` is whether the answer ended as complete.
 */
export function sendAttempt(
  instance,
  target,
  { method = "POST", body = "", deadline, headers = {} },
) {
  requestCount += 1;
  const id = `r${requestCount}-${Math.random().toString(16).slice(2, 10)}`;
  const [host, port] = instance.front.split(":");
  const agent = new Agent({ keepAlive: false });
  return new Promise((resolve) => {
    const chunks = [];
    const sentAt = Date.now();
    const end = (fields) => {
      clearTimeout(timer);
      agent.destroy();
      resolve({ id, target, sentAt, endedAt: Date.now(), body: Buffer.concat(chunks), ...fields });
    };
    const sent = httpRequest(
      {
        ...{ host, port, path: target, method, agent },
        headers: {
          Host: HOST_NAME,
          "Api-Key": API_KEY,
          "X-Request-Id": id,
          "X-Request-Deadline": String(deadline),
          "X-Token-Usage": "200,60",
          "X-Model": "m",
          ...headers,
        },
      },
      (response) => {
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", () => undefined);
        response.on("close", () =>
          end({
            status: response.statusCode,
            signature: response.headers["x-response-signature"],
            isComplete: response.complete,
          }),
        );
      },
    );
    const timer = setTimeout(() => sent.destroy(), deadline + 700);
    sent.on("error", (error) => {
      if (!sent.res) end({ status: 0, isComplete: false, error: error.message });
    });
    sent.end(body);
  });
}

/** Returns a configuration like that of a small deployment; the service's workers run streams and whole answers. */
export function configuration({
  service,
  streamTimeout = 15_000,
  streamTarget = 800,
  routes = [],
}) {
  const route = (name, fields) => ({
    ...{ name, host: HOST_NAME, path_prefix: `/${name}/`, service, priority: 1, public: false },
    ...fields,
  });
  const stream = { route_type: "streaming", sticky: true, resumable: true, gap_aim_ms: 800 };
  return {
    version: 7,
    routes: [
      route("stream", {
        ...stream,
        ...{ timeout_ms: streamTimeout, slo_ms: streamTarget, max_attempts: 2 },
      }),
      route("once", { route_type: "unsafe", timeout_ms: 1_500, slo_ms: 386, max_attempts: 1 }),
      route("safe", { route_type: "safe", timeout_ms: 1_500, slo_ms: 386, max_attempts: 2 }),
      ...routes.map(({ name, ...fields }) =>
        route(name, {
          ...stream,
          ...{ timeout_ms: streamTimeout, slo_ms: streamTarget, max_attempts: 2 },
          ...fields,
        }),
      ),
    ],
    services: [
      { name: service, health_path: "/health", max_connections: 290, protocol: "h1", tls: false },
    ],
    limits: {
      ...{ max_header_bytes: 16_384, max_body_bytes: 4_194_304 },
      ...{ header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    },
    tenants: [
      {
        ...{ name: "club", api_keys: [API_KEY], priority: 1, unit: "tokens", plain_tokens: 200 },
        ...{ rate_per_s: 256_132, burst: 256_132 },
      },
    ],
  };
}
