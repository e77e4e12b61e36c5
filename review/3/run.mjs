/**
 * A worker in trouble sends bytes without end. The platform ends each process that exceeds its memory and starts it again.
 */
import { readFileSync } from "node:fs";
import { wholeStream } from "../lib/answers.mjs";
import { configuration, HAS_TROUBLE, runCase, sendAttempt, sleep } from "../lib/harness.mjs";

const SERVICE = "samphire-pool";
const EVENTS = 20;
const EVENT_INTERVAL = 60;
/** Milliseconds between two streams of the clients of one instance. */
const STREAM_INTERVAL = 120;
const CALM = 4_000;
const TROUBLE = 80_000;
/** `memory_mb` of the deployment. */
const MEMORY_LIMIT = 350 * 1_048_576;
const RESTART_DELAY = 1_000;
/** How often the processes of a machine have to end by themselves, and on how many machines, to break the rule. */
const MAX_ENDS = 3;
const MIN_MACHINES = 2;

function memoryOf(pid) {
  try {
    return (
      Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? 0) * 1_024
    );
  } catch {
    return 0;
  }
}

await runCase(import.meta.dirname, async (deployment, { record, say }) => {
  await deployment.startPlatform(configuration({ service: SERVICE, streamTarget: 1_200 }));
  for (const name of ["i-1", "i-2"]) await deployment.startWorker(name, { service: SERVICE });
  await deployment.startInstances(2, { restartDelay: RESTART_DELAY });
  const ends = new Map(deployment.instances.map(({ name }) => [name, 0]));
  let highest = 0;
  const watch = setInterval(() => {
    for (const instance of deployment.instances) {
      const { child, name } = instance;
      if (child.exitCode !== null || child.signalCode !== null || instance.ended === child.pid)
        continue;
      const memory = memoryOf(child.pid);
      highest = Math.max(highest, memory);
      if (memory <= MEMORY_LIMIT) continue;
      instance.ended = child.pid;
      ends.set(name, ends.get(name) + 1);
      record(
        `platform: ${name}, process ${child.pid}, has ${Math.round(memory / 1_048_576)} MB; it is killed`,
      );
      child.kill("SIGKILL");
    }
  }, 20);
  let isActive = true;
  let count = 0;
  const answers = [];
  const client = async (instance) => {
    const pending = [];
    while (isActive) {
      count += 1;
      const target = `/stream/${EVENTS}/${EVENT_INTERVAL}/${count}`;
      pending.push(
        sendAttempt(instance, target, { deadline: 15_000 }).then((answer) => {
          const isWhole = answer.body.toString() === wholeStream(target);
          answers.push({ ...answer, isWhole });
          record(
            `answer ${answer.id} ${target} to ${instance.name}: status ${answer.status}, ` +
              `complete ${answer.isComplete}, whole ${isWhole}${answer.error ? `, ${answer.error}` : ""}`,
          );
        }),
      );
      await sleep(STREAM_INTERVAL);
    }
    await Promise.all(pending);
  };
  const clients = deployment.instances.map(client);
  await sleep(CALM);
  const calm = highest;
  if (HAS_TROUBLE) {
    for (const failing of deployment.workers.slice(1)) {
      record(`trouble: ${failing.name} sends bytes without end from now on`);
      failing.send({ trouble: "endless" });
    }
  }
  await sleep(TROUBLE);
  for (const worker of deployment.workers) worker.send({ trouble: "none" });
  isActive = false;
  await Promise.all(clients);
  clearInterval(watch);
  const whole = answers.filter(({ isWhole, isComplete }) => isWhole && isComplete).length;
  const lost = answers.filter(({ status, isComplete }) => status === 0 || !isComplete).length;
  const megabytes = (bytes) => Math.round(bytes / 1_048_576);
  say(`${answers.length} streams: ${whole} whole, ${lost} ended with their connection`);
  say(
    `memory: ${megabytes(calm)} MB before, ${megabytes(highest)} MB at most; the limit is 350 MB`,
  );
  for (const [name, number] of ends) say(`${name}: ended ${number} times over its memory`);
  if (whole === 0) throw new Error("no stream was served");
  return [...ends.values()].filter((number) => number >= MAX_ENDS).length < MIN_MACHINES;
});
