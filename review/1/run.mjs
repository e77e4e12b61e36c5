/**
 * A machine is partitioned from all workers and reaches them through the other machines. One of these is killed. The
 * workers' answers have no length and end with their connections.
 */
import { wholeAnswer, wholeStream } from "../lib/answers.mjs";
import { configuration, HAS_TROUBLE, runCase, sendAttempt, sleep } from "../lib/harness.mjs";

const SERVICE = "entry-model";
const STREAMS = 24;
const ROUNDS = 4;
const EVENTS = 50;
const EVENT_INTERVAL = 80;
/** Milliseconds after the start of a round's streams at which a machine is killed. */
const KILL_AFTER = 2_000;

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
  await sendShort(5);
  if (HAS_TROUBLE) {
    record(`partition: ${cut.name} from all workers; connections are reset`);
    for (const worker of deployment.workers) worker.send({ cut: [cut.child.pid] });
  }
  await sendShort(40);
  for (let round = 0; round < ROUNDS; round++) {
    const streams = Array.from({ length: STREAMS }, (_, index) =>
      send(`/stream/${EVENTS}/${EVENT_INTERVAL}/${round}-${index}`, { deadline: 15_000 }),
    );
    await sleep(KILL_AFTER);
    const killed = others[round % others.length];
    if (HAS_TROUBLE) {
      record(`kill: ${killed.name}, process ${killed.child.pid}`);
      killed.child.kill("SIGKILL");
    }
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
  for (const { id, target, body } of wrong.slice(0, 5))
    say(`  ${id} ${target}: ${body.length} of ${wholeStream(target).length} bytes`);
  if (good.length < ofStreams.length / 4) throw new Error("too few streams were served");
  return wrong.length === 0;
});
