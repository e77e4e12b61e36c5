/**
 * All instances lose power for two seconds while the workers of a service are replaced one after the other by others with
 * a new software version. Callers then take up the streams that the old version began.
 */
import { request as httpRequest } from "node:http";
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { createInstances, sleep } from "../standins/instances.mjs";
import { startPlatform } from "../standins/platform.mjs";
import { startWorker } from "../standins/worker.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const SERVICE = "entry-model";
const HOST_NAME = "review.example";
const KEY = "review-key";
const DEADLINE = 15_000;
const STREAMS = 24;
const DARK = 2_000;
const DRAIN = 2_000;
/** Milliseconds between the replacement of two workers. */
const REPLACE_GAP = 600;
/** The rule is broken by more than two streams. */
const ALLOWED = 2;
/** Milliseconds after the break of a stream at which its caller tries again. */
const RETRIES = [500, 3_000, 5_500];

const record = [];
const startedAt = Date.now();
const note = (line) => record.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${line}`);

const platform = await startPlatform();
platform.put("config", "main", {
  version: 1,
  routes: [
    {
      name: "draft",
      host: HOST_NAME,
      path_prefix: "/draft/",
      route_type: "streaming",
      resumable: true,
      timeout_ms: DEADLINE,
      slo_ms: 800,
      gap_aim_ms: 500,
      priority: 1,
      max_attempts: 2,
      service: SERVICE,
    },
  ],
  services: [{ name: SERVICE, max_connections: 290 }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1_048_576,
    header_timeout_ms: 5_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: "club", api_keys: [KEY] }],
});
const onRun = ({ id, worker, version, from }) =>
  note(`run ${id} at ${worker} (${version}) from event ${from ?? 0}`);
const workerOptions = { service: SERVICE, onRun, events: 56, interval: 250 };
const old = [];
for (const id of ["i-old-1", "i-old-2"])
  old.push(await startWorker({ id, version: "v1", born: Date.now() - 60_000, ...workerOptions }));
for (const worker of old) platform.put("servers", worker.id, worker.entry());
const fleet = await createInstances({ count: 3, store: platform.address });

const finish = async (code, verdict) => {
  note(verdict);
  writeFileSync(join(FOLDER, "record.txt"), `${record.join("\n")}\n`);
  console.log(verdict);
  for (const worker of [...old, ...renewed]) worker.exit();
  await fleet.close();
  platform.close();
  process.exit(code);
};

/**
 * Replaces the workers one after the other: the new one starts first, the entry of the old one is removed, and the old one
 * serves on for the time that a worker drains.
 */
const renewed = [];
const release = async () => {
  const replace = async (worker) => {
    const id = worker.id.replace("old", "new");
    const next = await startWorker({ id, version: "v2", ...workerOptions });
    renewed.push(next);
    platform.put("servers", next.id, next.entry());
    note(`${next.id} (v2) is ready`);
    await sleep(REPLACE_GAP / 2);
    platform.remove("servers", worker.id);
    note(`the entry of ${worker.id} (v1) is removed`);
    await sleep(DRAIN + 500);
    worker.exit();
    note(`${worker.id} (v1) has ended`);
  };
  const replaced = [];
  for (const worker of old) {
    replaced.push(replace(worker));
    await sleep(REPLACE_GAP);
  }
  await Promise.all(replaced);
};

/** One caller with one stream. It takes a broken stream up a few times within its deadline. */
class Caller {
  events = [];
  versions = new Set();
  isEnded = false;
  last = "";

  constructor(number) {
    this.number = number;
    this.sentAt = Date.now();
    this.tries = 0;
  }

  run() {
    return new Promise((resolve) => {
      this.done = resolve;
      this.attempt();
    });
  }

  attempt() {
    const id = `request-${this.number}-${++this.tries}`;
    const left = this.sentAt + DEADLINE - Date.now();
    const [host, port] = fleet.instances[(this.number + this.tries) % 3].callers.split(":");
    const lastEvent = this.events.at(-1);
    const headers = {
      Host: HOST_NAME,
      "X-Request-Id": id,
      "X-Request-Deadline": String(left),
      "Api-Key": KEY,
      ...(lastEvent === undefined
        ? {}
        : { "Last-Event-Id": String(lastEvent), Resumes: this.first }),
    };
    note(`send ${id}${lastEvent === undefined ? "" : ` after event ${lastEvent}`}`);
    let text = "";
    let isOver = false;
    const over = (how) => {
      if (isOver) return;
      isOver = true;
      note(`end ${id}: ${how}`);
      this.last = how;
      this.again();
    };
    const path = `/draft/${this.number}`;
    const sent = httpRequest({ host, port, method: "POST", path, headers, agent: false }, (res) => {
      if (res.statusCode !== 200) {
        res.resume();
        over(`status ${res.statusCode}`);
        return;
      }
      res.on("data", (chunk) => {
        text += chunk;
        for (let at = text.indexOf("\n\n"); at >= 0; at = text.indexOf("\n\n")) {
          const event = text.slice(0, at);
          text = text.slice(at + 2);
          const number = Number(/^id: (\d+)$/m.exec(event)?.[1]);
          const version = /^data: (\S+)/m.exec(event)?.[1];
          if (this.events.length === 0) this.first = id;
          if (!this.versions.has(version)) note(`event ${number} of ${version} in ${id}`);
          this.events.push(number);
          this.versions.add(version);
        }
      });
      res.on("end", () => {
        this.isEnded = res.complete;
        over("complete");
      });
      res.on("error", () => over("broken"));
      res.on("close", () => over("broken"));
    });
    sent.on("error", (error) => over(`no answer (${error.code})`));
    sent.setTimeout(Math.max(1, left), () => sent.destroy());
    sent.end("{}");
  }

  again() {
    this.brokenAt ??= Date.now();
    const wait = RETRIES[this.tries - 1];
    const at = this.brokenAt + (wait ?? Infinity);
    if (this.isEnded || at > this.sentAt + DEADLINE) this.done();
    else setTimeout(() => this.attempt(), Math.max(0, at - Date.now()));
  }
}

for (const instance of fleet.instances) instance.start();
if (!(await fleet.waitReady())) {
  record.push(...fleet.describe());
  await finish(2, "The instances didn't become ready.");
}
await sleep(1_500);
const callers = Array.from({ length: STREAMS }, (_, index) => new Caller(index + 1));
const runs = callers.map((caller) => caller.run());
await sleep(1_000);
const hasBegun = callers.every(({ versions }) => versions.has("v1"));
if (!hasBegun) await finish(2, "The streams didn't begin.");
if (HAS_TROUBLE) {
  note("all instances lose power");
  for (const instance of fleet.instances) instance.signal("SIGKILL");
}
const restart = async () => {
  await sleep(DARK);
  if (!HAS_TROUBLE) return;
  note("the instances start again");
  for (const instance of fleet.instances) instance.start();
};
await Promise.all([restart(), sleep(200).then(release)]);
await Promise.all(runs);
const joined = callers.filter(({ versions }) => versions.size > 1);
const verdict = `${joined.length} of ${STREAMS} streams hold events of two versions.`;
await finish(joined.length > ALLOWED ? 1 : 0, verdict);
