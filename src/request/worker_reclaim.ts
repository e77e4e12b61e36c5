import { triage, TriageChoice } from "../decision/index.ts";
import type { TriageRequest, TriageDecision } from "../decision/index.ts";
import { WorkerState } from "../interface/index.ts";
import type { Timer, Worker } from "../interface/index.ts";
import type { Environment, Subscription } from "./environment.ts";
import { StopReason } from "./live_request.ts";
import type { LiveRequest } from "./live_request.ts";

/** Assumed rate at which a worker exports KV cache, in bytes per second. */
const TRANSFER_RATE = 1_250_000_000;
/** Assumed bytes of KV cache per token. */
const BYTES_PER_TOKEN = 130_000;
/** Prompt tokens processed per second by a machine class that is not in the settings. */
const PREFILL_RATE = 8_000;
/** Time per token in milliseconds, for a request that has not produced any yet. */
const DEFAULT_TOKEN_TIME = 30;
/** Assumed average number of characters of a prompt per token. */
const CHARACTERS_PER_TOKEN = 4;
/** Milliseconds between two checks of the servers with a reclaim notice. */
const POLL_INTERVAL = 250;
/** Milliseconds before a server is reclaimed at which its last requests are moved. */
const FINAL_MOVE_MARGIN = 500;

/**
 * Moves requests in progress away from workers with a reclaim notice, as chosen by the triage.
 *
 * Otherwise a request would run until its server is gone. The next server would compute its whole
 * KV cache again, which costs recomputed tokens and causes a gap in the answer.
 *
 * @param running Returns the requests that this instance runs on a worker.
 */
export function watchReclaims(
  environment: Environment,
  running: (worker: string) => readonly LiveRequest[],
): Subscription {
  const { clock, workers } = environment;
  // The server from which each request was last moved. Reclaims come in waves, so the next server
  // may be reclaimed as well.
  const movedFrom = new WeakMap<LiveRequest, string>();
  const timers = new Set<Timer>();
  const schedule = (at: number, action: () => void): void => {
    const timer = clock.after(Math.max(0, at - clock.now()), () => {
      timers.delete(timer);
      action();
    });
    timers.add(timer);
  };
  const applyTriage = ({ choice, at }: TriageDecision, { live, worker }: AffectedRun): void => {
    const isStillThere = (): boolean => live.record.worker === worker.id;
    const move = (): void => {
      if (isStillThere()) live.interrupt(StopReason.Reclaimed);
    };
    // A request that was expected to end and hasn't, or had no token to continue from, would be
    // lost with the server.
    schedule((worker.reclaimAt ?? 0) - FINAL_MOVE_MARGIN, move);
    switch (choice) {
      case TriageChoice.Finish:
      case TriageChoice.Stay:
        break;
      case TriageChoice.ResumeNow:
        move();
        break;
      case TriageChoice.ResumeLate:
        if (at !== undefined) schedule(at, move);
        break;
      case TriageChoice.ExportCache:
        schedule(at ?? clock.now(), () => {
          if (isStillThere()) void exportCache(environment, { live, worker }).finally(move);
        });
        break;
    }
  };
  const moveRequests = (worker: Worker): void => {
    const unmoved = running(worker.id).filter((live) => movedFrom.get(live) !== worker.id);
    if (unmoved.length === 0) return;
    const liveById = new Map(unmoved.map((live) => [live.record.id, live]));
    for (const live of unmoved) movedFrom.set(live, worker.id);
    const requests = [...liveById.values()].map((live) => toTriageRequest(environment, live));
    for (const choice of runTriage(environment, worker, requests)) {
      const live = liveById.get(choice.id);
      environment.counters.count(`triage.${choice.choice}`);
      if (live !== undefined) applyTriage(choice, { live, worker });
    }
  };
  let nextPoll: Timer | undefined;
  /**
   * Checks the servers with a reclaim notice. Requests also reach a server after its notice, with a
   * slot whose owner is reclaimed in the same wave. With a single check they would stay on the
   * server and be lost with it.
   */
  const poll = (): void => {
    nextPoll?.close();
    const workersWithNotice = workers
      .list()
      .filter(({ state, reclaimAt }) => state === WorkerState.Leaving && reclaimAt !== undefined);
    for (const worker of workersWithNotice) moveRequests(worker);
    nextPoll = workersWithNotice.length === 0 ? undefined : clock.after(POLL_INTERVAL, poll);
  };
  const subscription = workers.onChange(poll);
  return {
    close: () => {
      subscription.close();
      nextPoll?.close();
      for (const timer of timers) timer.close();
    },
  };
}

/** A request in progress at a worker with a reclaim notice. */
interface AffectedRun {
  readonly live: LiveRequest;
  readonly worker: Worker;
}

function runTriage(
  { clock, configuration, workers }: Environment,
  worker: Worker,
  requests: readonly TriageRequest[],
): readonly TriageDecision[] {
  const serviceWorkers = workers.list().filter(({ service }) => service === worker.service);
  const classes = configuration.revision()?.deployment.machineClasses ?? {};
  return triage(requests, {
    now: clock.now(),
    reclaimAt: worker.reclaimAt ?? clock.now(),
    transferBytesPerSecond: TRANSFER_RATE,
    bytesPerToken: BYTES_PER_TOKEN,
    targets: serviceWorkers.filter(({ state }) => state === WorkerState.Live),
    prefillPerSecond: classes[worker.machineClass]?.prefillPerSecond ?? PREFILL_RATE,
    workersWithNotice: serviceWorkers.filter(({ reclaimAt }) => reclaimAt !== undefined),
  });
}

function toTriageRequest({ clock }: Environment, live: LiveRequest): TriageRequest {
  const { id, repeatable, body, deadlineAt } = live.record;
  const produced = live.tokens.length;
  const elapsed = clock.now() - live.dispatchedAt;
  return {
    id,
    repeatable,
    promptTokens: Math.ceil(body.length / CHARACTERS_PER_TOKEN),
    producedTokens: produced,
    remainingTokens: remainingTokens(live),
    tokenTime: produced > 0 ? elapsed / produced : DEFAULT_TOKEN_TIME,
    deadlineAt: clock.now() + deadlineAt - clock.date().getTime(),
  };
}

/**
 * Estimates the number of tokens still to come, as at least half of those received so far. If an
 * answer that exceeds its estimate were assumed to be at its end, it would stay on a server with a
 * reclaim notice and be lost with it.
 */
function remainingTokens({ expectedTokens, tokens }: LiveRequest): number {
  return Math.max(1, expectedTokens - tokens.length, tokens.length / 2);
}

/** Exports the request's KV cache. If this fails, the request resumes from its tokens. */
async function exportCache(
  { counters, engine }: Environment,
  { live, worker }: AffectedRun,
): Promise<void> {
  try {
    live.cacheExport = await engine.exportCache(worker, live.record.id);
  } catch {
    counters.count("export.failed");
  }
}
