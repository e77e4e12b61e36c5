/**
 * A worker falls silent for a moment, so that its streams move to another worker. That one fails its requests with long
 * error answers.
 */
import { wholeStream } from "../lib/answers.mjs";
import { configuration, HAS_TROUBLE, runCase, sendAttempt, sleep } from "../lib/harness.mjs";

const SERVICE = "entry-model";
const STREAMS = 120;
const EVENTS = 60;
const EVENT_INTERVAL = 100;
/** Milliseconds after the start of the streams at which the workers' trouble begins, and how long it lasts. */
const TROUBLE_AFTER = 1_500;
const TROUBLE_DURATION = 4_000;
/** Part of the requests that the workers fail meanwhile. */
const FAILING_SHARE = 0.45;
/** Milliseconds for which a sound worker is silent. */
const SILENCE = 1_500;

await runCase(import.meta.dirname, async (deployment, { record, say }) => {
  const routes = [{ name: "long", max_attempts: 3 }];
  await deployment.startPlatform(configuration({ service: SERVICE, routes }));
  for (const name of ["i-1", "i-2", "i-3"])
    await deployment.startWorker(name, { service: SERVICE });
  await deployment.startInstances(2);
  const answers = [];
  const send = async (instance, target) => {
    const answer = await sendAttempt(instance, target, { deadline: 15_000 });
    const text = answer.body.toString("latin1");
    const foreign = text.indexOf("internal error in the worker");
    const isWhole = text === wholeStream(target);
    answers.push({ ...answer, foreign, isWhole });
    record(
      `answer ${answer.id} ${target} to ${instance.name}: status ${answer.status}, ` +
        `signed ${answer.signature ?? "no"}, complete ${answer.isComplete}, whole ${isWhole}, ` +
        `${answer.body.length} bytes for ${wholeStream(target).length}, foreign bytes at ${foreign}`,
    );
  };
  const streams = [];
  for (let index = 0; index < STREAMS; index++) {
    const instance = deployment.instances[index % deployment.instances.length];
    const route = index % 8 < 2 ? "stream" : "long";
    streams.push(send(instance, `/${route}/${EVENTS}/${EVENT_INTERVAL}/${index}`));
    await sleep(15);
  }
  await sleep(TROUBLE_AFTER);
  if (HAS_TROUBLE) {
    record(`trouble: the workers fail ${FAILING_SHARE} of the requests that begin from now on`);
    for (const worker of deployment.workers)
      worker.send({ trouble: "long-errors", share: FAILING_SHARE });
    const [silent] = deployment.workers;
    record(`${silent.name} sends nothing for ${SILENCE} ms`);
    silent.send({ silentUntil: Date.now() + SILENCE });
    await sleep(TROUBLE_DURATION);
    for (const worker of deployment.workers) worker.send({ trouble: "none" });
  }
  await Promise.all(streams);
  const whole = answers.filter(({ isWhole, isComplete }) => isWhole && isComplete);
  const foreign = answers.filter(({ status, foreign: at }) => status === 200 && at >= 0);
  const complete = foreign.filter(({ isComplete }) => isComplete);
  say(`${answers.length} streams: ${whole.length} whole`);
  say(`${foreign.length} answers with status 200 contain bytes of another worker's failure`);
  say(`${complete.length} of these ended as complete`);
  if (whole.length < answers.length / 4) throw new Error("too few streams were served");
  return complete.length === 0;
});
