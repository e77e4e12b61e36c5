import { triage, TriageChoice } from "../decision/index.ts";
import type { Endangered, Triage } from "../decision/index.ts";
import { WorkerState } from "../interface/index.ts";
import type { Timer, Worker } from "../interface/index.ts";
import type { Environment, Subscription } from "./environment.ts";
import { Stop } from "./live_request.ts";
import type { LiveRequest } from "./live_request.ts";

/**
 * Bytes of KV cache that an instance can transfer per second, used where nothing better is known.
 */
const TRANSFER_RATE = 1_250_000_000;
/** Bytes of KV cache per token, used where nothing better is known. */
const BYTES_PER_TOKEN = 130_000;
/** Prompt tokens processed per second by a machine class that is not in the settings. */
const PREFILL_RATE = 8_000;
/** Time per token in milliseconds, for a request that has not produced any yet. */
const USUAL_TOKEN_TIME = 30;
/** Characters of a prompt per token. */
const TOKEN_CHARACTERS = 4;
/** Milliseconds between two checks of the servers under notice. */
const LOOK_PERIOD = 250;
/** Milliseconds before an instance is reclaimed at which its last requests are moved. */
const LATE_MARGIN = 500;

/**
 * Moves requests in progress away from workers under notice, as chosen by the triage.
 *
 * Otherwise a request would run until its server is gone, and be resumed after its whole KV cache
 * is computed again. The caller would see a gap, and operators the recomputed tokens.
 *
 * @param running Returns the requests that this instance runs on a worker.
 */
export function followReclaims(
  environment: Environment,
  running: (worker: string) => readonly LiveRequest[],
): Subscription {
  const { clock, workers } = environment;
  // The server from which each request was last moved. Reclaims come in waves, so the next server
  // may be reclaimed as well.
  const savedFrom = new WeakMap<LiveRequest, string>();
  const timers = new Set<Timer>();
  const later = (at: number, act: () => void): void => {
    const timer = clock.after(Math.max(0, at - clock.now()), () => {
      timers.delete(timer);
      act();
    });
    timers.add(timer);
  };
  const follow = ({ choice, at }: Triage, { live, worker }: Case): void => {
    const isStillThere = (): boolean => live.record.worker === worker.id;
    const move = (): void => {
      if (isStillThere()) live.interrupt(Stop.Reclaimed);
    };
    // A request that was expected to end and hasn't, or had no token to continue from, would be
    // lost with the instance.
    later((worker.reclaimAt ?? 0) - LATE_MARGIN, move);
    switch (choice) {
      case TriageChoice.Finish:
      case TriageChoice.Stay:
        break;
      case TriageChoice.ResumeNow:
        move();
        break;
      case TriageChoice.ResumeLate:
        if (at !== undefined) later(at, move);
        break;
      case TriageChoice.ExportCache:
        later(at ?? clock.now(), () => {
          if (isStillThere()) void exportCache(environment, { live, worker }).finally(move);
        });
        break;
    }
  };
  const save = (worker: Worker): void => {
    const fresh = running(worker.id).filter((live) => savedFrom.get(live) !== worker.id);
    if (fresh.length === 0) return;
    const lives = new Map(fresh.map((live) => [live.record.id, live]));
    for (const live of fresh) savedFrom.set(live, worker.id);
    const endangered = [...lives.values()].map((live) => endangeredOf(environment, live));
    for (const choice of choose(environment, worker, endangered)) {
      const live = lives.get(choice.id);
      environment.counters.count(`triage.${choice.choice}`);
      if (live !== undefined) follow(choice, { live, worker });
    }
  };
  let next: Timer | undefined;
  /**
   * Checks the servers under notice. Requests also reach a server after its notice, with a slot
   * whose owner is reclaimed in the same wave. With a single check they would stay on the server
   * and be lost with it.
   */
  const look = (): void => {
    next?.close();
    const threatened = workers
      .list()
      .filter(({ state, reclaimAt }) => state === WorkerState.Leaving && reclaimAt !== undefined);
    for (const worker of threatened) save(worker);
    next = threatened.length === 0 ? undefined : clock.after(LOOK_PERIOD, look);
  };
  const subscription = workers.onChange(look);
  return {
    close: () => {
      subscription.close();
      next?.close();
      for (const timer of timers) timer.close();
    },
  };
}

interface Case {
  readonly live: LiveRequest;
  readonly worker: Worker;
}

function choose(
  { clock, configuration, workers }: Environment,
  worker: Worker,
  endangered: readonly Endangered[],
): readonly Triage[] {
  const fellows = workers.list().filter(({ service }) => service === worker.service);
  const classes = configuration.revision()?.deployment.machineClasses ?? {};
  return triage(endangered, {
    now: clock.now(),
    reclaimAt: worker.reclaimAt ?? clock.now(),
    transferRate: TRANSFER_RATE,
    bytesPerToken: BYTES_PER_TOKEN,
    targets: fellows.filter(({ state }) => state === WorkerState.Live),
    prefillPerSecond: classes[worker.machineClass]?.prefillPerSecond ?? PREFILL_RATE,
    underNotice: fellows.filter(({ reclaimAt }) => reclaimAt !== undefined),
  });
}

function endangeredOf({ clock }: Environment, live: LiveRequest): Endangered {
  const { id, repeatable, body, deadlineAt } = live.record;
  const produced = live.tokens.length;
  const since = clock.now() - live.dispatchedAt;
  return {
    id,
    repeatable,
    promptTokens: Math.ceil(body.length / TOKEN_CHARACTERS),
    producedTokens: produced,
    remainingTokens: remainingTokens(live),
    tokenTime: produced > 0 ? since / produced : USUAL_TOKEN_TIME,
    deadlineAt: clock.now() + deadlineAt - clock.date().getTime(),
  };
}

/**
 * Estimates the number of tokens still to come. An answer that has outgrown its estimate is a long
 * one. If it were assumed to be at its end, it would stay on a server under notice and be lost with
 * it.
 */
function remainingTokens({ expectedTokens, tokens }: LiveRequest): number {
  return Math.max(1, expectedTokens - tokens.length, tokens.length / 2);
}

/** Exports the request's KV cache. If this fails, the request resumes from its tokens. */
async function exportCache(
  { counters, engine }: Environment,
  { live, worker }: Case,
): Promise<void> {
  try {
    live.cache = await engine.exportCache(worker, live.record.id);
  } catch {
    counters.count("export.failed");
  }
}
