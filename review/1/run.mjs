/**
 * A machine is partitioned from all workers and reaches them through the other machines. One of these is killed, or stopped
 * as planned. The workers' answers have no length and end with their connections.
 */
import { wholeAnswer, wholeStream } from "../lib/answers.mjs";
import { configuration, HAS_TROUBLE, runCase, sendAttempt, sleep } from "../lib/harness.mjs";

const SERVICE = "entry-model";
const STREAMS = 24;
const EVENTS = 50;
/**
 * How a machine ends in each round, the milliseconds between two events of the round's streams, and for how long the
 * partition lasts after the signal.
 */
const ROUNDS = [
  ...Array.from({ length: 4 }, () => ({ signal: "SIGKILL", interval: 80, cutFor: 2_000 })),
  // Streams that last longer than the 8 s after which a stopped machine is gone.
  { signal: "SIGTERM", interval: 250, cutFor: 8_500 },
];
/** Milliseconds after the start of a round's streams at which a machine ends. */
const END_AFTER = 2_000;

await runCase(import.meta.dirname, async (deployment, { record, say }) => {
  await deployment.startPlatform(configuration({ service: SERVICE }));
  for (const name of ["i-1", "i-2", "i-3", "i-4"])
    await deployment.startWorker(name, { service: SERVICE, isFramed: false });
  await deployment.startInstances(3, { restartDelay: 1_000 });
  const [cut, ...others] = deployment.instances;
  const answers = [];
  const send = async (target, options) => {
    const answer = await sendAttempt(cut, target, options);
    const whole = target.startsWith("/stream/") ? wholeStream(target) : wholeAnswer(target);
    const isWhole = answer.body.equals(Buffer.from(whole));
    const judged = { ...answer, isWhole };
    answers.push(judged);
    record(
      `answer ${answer.id} ${target} to ${cut.name}: status ${answer.status}, ` +
        `signed ${answer.signature ?? "no"}, complete ${answer.isComplete}, ` +
        `${answer.body.length} of ${whole.length} bytes`,
    );
    return judged;
  };
  const sendShort = async (count) => {
    for (let index = 0; index < count; index++) {
      await send(`/safe/${index}`, { method: "GET", deadline: 1_500 });
      await sleep(40);
    }
  };
  const setCut = (pids) => {
    record(`partition from all workers: ${pids.length > 0 ? cut.name : "none"}`);
    for (const worker of deployment.workers) worker.send({ cut: pids });
  };
  await sendShort(5);
  for (const [round, { signal, interval, cutFor }] of ROUNDS.entries()) {
    if (HAS_TROUBLE) setCut([cut.child.pid]);
    await sendShort(20);
    const streams = Array.from({ length: STREAMS }, (_, index) =>
      send(`/stream/${EVENTS}/${interval}/${round}-${index}`, { deadline: 15_000 }),
    );
    await sleep(END_AFTER);
    const ended = others[round % others.length];
    if (HAS_TROUBLE) {
      record(`${signal} to ${ended.name}, process ${ended.child.pid}`);
      ended.child.kill(signal);
    }
    await sleep(cutFor);
    if (HAS_TROUBLE) setCut([]);
    await Promise.all(streams);
    await sleep(2_500);
  }
  const ofStreams = answers.filter(({ target }) => target.startsWith("/stream/"));
  const good = ofStreams.filter(
    ({ status, isComplete, isWhole }) => status === 200 && isComplete && isWhole,
  );
  const wrong = answers.filter(
    ({ status, isComplete, isWhole }) => status === 200 && isComplete && !isWhole,
  );
  const broken = ofStreams.filter(({ isComplete }) => !isComplete);
  say(`${ofStreams.length} streams: ${good.length} whole, ${broken.length} ended as broken off`);
  say(
    `${wrong.length} answers with status 200 ended as complete before the end of their workers' bodies`,
  );
  for (const [round, { signal }] of ROUNDS.entries()) {
    const count = wrong.filter(({ target }) => target.includes(`/${round}-`)).length;
    say(`  round ${round + 1}, ${signal}: ${count} of ${STREAMS}`);
  }
  if (good.length < ofStreams.length / 4) throw new Error("too few streams were served");
  return wrong.length === 0;
});
