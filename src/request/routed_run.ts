import type { IncomingMessage } from "node:http";
import { createEventSplitter } from "./event_splitter.ts";
import { returnAfter } from "../decision/index.ts";
import type { Ranking } from "../decision/index.ts";
import type { AnswerHead, Exchange, ExchangeEnd, Timer } from "../interface/index.ts";
import { Delivery, Repetition } from "../version/index.ts";
import type { RoutedService } from "../version/index.ts";
import { RoutedRefusal } from "./caller_answer.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { RequestPrint } from "./request_print.ts";
import type { RoutedArrival } from "./routed_arrival.ts";
import { RunResult } from "./routed_context.ts";
import type { BoardWorker, DecisionFields, RoutedContext } from "./routed_context.ts";
import { chooseWorkers } from "./routed_choice.ts";
import { addedHeaders, requestHeaders, workerLimit } from "./routed_headers.ts";
import { beginAttempt, isSilentAttempt } from "./routed_attempt.ts";
import type { Attempt } from "./routed_attempt.ts";

/** A request whose body is complete and whose quota was charged. */
export interface AdmittedRequest {
  readonly request: IncomingMessage;
  readonly arrival: RoutedArrival;
  readonly service: RoutedService;
  readonly body: Buffer;
  readonly print: RequestPrint;
  /** Refunds the account's quota, because the request certainly did not run. */
  readonly giveBack: () => void;
}

/** A run of a request that can be abandoned from outside. */
export interface RoutedRun {
  /** Stops whatever is running, because the caller has disconnected. */
  abandon(): void;
}

/** Milliseconds after the deadline for which the worker's own final response is awaited. */
const DEADLINE_GRACE = 100;
/**
 * Maximum size in bytes of a response that is buffered until it is complete, so that a truncated
 * one can be requested again. Larger responses are forwarded as they arrive.
 */
const GREATEST_KEPT = 1_048_576;
/** Milliseconds between two checks of whether the worker is silent. */
const SILENCE_LOOK = 150;
/**
 * Milliseconds after which a caller may retry if there was no worker: a part of the usual start-up
 * time of an ordered worker.
 */
const NO_WORKER_RETRY = 800;
/**
 * Milliseconds after which a caller may retry if workers were full: capacity is freed within some
 * hundred milliseconds.
 */
const BUSY_RETRY = 300;
const SUCCESS = 200;
const REDIRECTION = 300;
const SERVER_ERROR = 500;
const MISDIRECTED = 421;
const GATEWAY_TIMEOUT = 504;

/**
 * Serves a request: sends it to a worker, forwards the response, and tries another worker if the
 * first one fails and the request may run again.
 *
 * If the route of a request doesn't allow a second run, the request is sent again only if no byte
 * of it was accepted or the worker reported that it didn't run it. Statuses that guarantee "not
 * run" are sent under the same conditions.
 *
 * @param admitted The request.
 * @param answer The response to write to.
 */
export function startRoutedRun(
  context: RoutedContext,
  admitted: AdmittedRequest,
  answer: CallerAnswer,
): RoutedRun {
  const { clock, names, connections, board, repeats } = context;
  const { request, arrival, service, body, print } = admitted;
  const { route } = arrival;
  const isStream = route.delivery === Delivery.Events;
  const repeatable = route.repetition === Repetition.Idempotent || (isStream && route.resumable);
  const splitter = createEventSplitter();
  const tried = new Set<string>();
  /** Number of sends for which a run can't be ruled out. */
  let runs = 0;
  let mayHaveRun = false;
  let current: Attempt | undefined;
  let isDone = false;
  let look: Timer | undefined;

  const note = (step: string, fields: DecisionFields): void =>
    context.decided(step, arrival.id, { route: route.name, ...fields });
  const finish = (): void => {
    isDone = true;
    deadline.close();
    look?.close();
    leaving?.close();
  };
  const refuse = (
    reason: RoutedRefusal,
    retryAfter?: number,
    inputs: Readonly<Record<string, number | boolean>> = {},
  ): void => {
    finish();
    if (answer.isOver) return;
    context.metrics.refused(reason);
    const after = Math.round(clock.now() - arrival.arrivedAt);
    note("refused", { reason, runs, after, retryAfter, ...inputs });
    if (answer.isBegun) answer.cut();
    else answer.refuse(reason, retryAfter);
  };
  /** Ends a request that is not sent to any further worker. */
  const giveUp: typeof refuse = (reason, retryAfter, inputs) => {
    if (mayHaveRun) {
      refuse(RoutedRefusal.WorkerLost);
      return;
    }
    admitted.giveBack();
    refuse(reason, retryAfter, inputs);
  };
  const deadline = clock.after(arrival.deadlineAt + DEADLINE_GRACE - clock.now(), () => {
    if (isDone) return;
    endAttempt(RunResult.Abandoned)?.abort();
    refuse(RoutedRefusal.DeadlinePassed);
  });
  let leaving: { close(): void } | undefined;

  /** Detaches the current attempt, so that its later events are ignored. */
  const endAttempt = (result: RunResult): Exchange | undefined => {
    const attempt = current;
    current = undefined;
    leaving?.close();
    attempt?.run.end(result);
    return attempt?.exchange;
  };
  const tryNext = (): void => {
    if (isDone) return;
    const now = clock.now();
    const left = arrival.deadlineAt - now;
    if (left <= 0) {
      giveUp(RoutedRefusal.DeadlinePassed);
      return;
    }
    const quarantinedFor = context.quarantine.waitFor(print);
    if (quarantinedFor > 0) {
      giveUp(RoutedRefusal.CrashesWorkers, quarantinedFor);
      return;
    }
    const choice = chooseWorkers(context, { arrival, service, tried });
    if (choice.kind === "none") {
      const opensIn = board.opensIn(service);
      const after = opensIn === undefined ? NO_WORKER_RETRY : Math.max(BUSY_RETRY, opensIn);
      giveUp(RoutedRefusal.NoWorker, Math.round(after));
      return;
    }
    if (choice.kind === "overloaded") {
      const { offer, candidates } = choice;
      giveUp(RoutedRefusal.Overloaded, Math.round(returnAfter(offer)), {
        ...offer,
        wait: Math.round(offer.wait),
        left: Math.round(left),
        candidates,
      });
      return;
    }
    for (const ranked of choice.inTurn()) if (send(ranked)) return;
    giveUp(RoutedRefusal.Overloaded, BUSY_RETRY);
  };
  const send = ({ worker, cost, reads, wait }: Ranking<BoardWorker>): boolean => {
    const now = clock.now();
    splitter.resume();
    const attempt = beginAttempt(worker, {
      run: board.begin(worker, { reads, route: route.name }),
      now,
      wait,
    });
    current = attempt;
    const exchange = connections.exchange(
      worker,
      {
        method: request.method ?? "GET",
        target: request.url ?? "/",
        headers: requestHeaders(request, {
          names,
          added: addedHeaders(names, {
            left: arrival.deadlineAt - now,
            worker: worker.id,
            account: arrival.account?.name,
            rank: service.engine === undefined ? undefined : arrival.rank,
            lastEventId: splitter.lastId,
          }),
        }),
        body,
        id: arrival.id,
      },
      {
        sink: {
          head: (head) => onHead(attempt, head),
          data: (chunk) => onData(attempt, chunk),
          end: (end) => onEnd(attempt, end),
        },
        repeatable,
        most: worker.mostConnections,
      },
    );
    if (exchange === undefined) {
      endAttempt(RunResult.Abandoned);
      return false;
    }
    attempt.exchange = exchange;
    tried.add(worker.id);
    runs++;
    note("sent", {
      worker: worker.id,
      account: arrival.account?.name,
      tokens: arrival.statedTokens,
      print: print.name,
      run: runs,
      cost: Math.round(cost),
      running: worker.running,
      left: Math.round(arrival.deadlineAt - now),
      from: splitter.lastId,
    });
    if (repeatable) {
      leaving = board.onLeaving(worker.id, () => {
        if (current === attempt && isStream) repeat("worker-leaving");
      });
      watchSilence(attempt);
    }
    return true;
  };
  const onHead = (attempt: Attempt, head: AnswerHead): void => {
    if (current !== attempt) return;
    attempt.heardAt = clock.now();
    attempt.head = head;
    attempt.run.answering(workerLimit(head, names));
    attempt.streaming = isStream && isSuccess(head.status);
  };
  const onData = (attempt: Attempt, chunk: Buffer): void => {
    if (current !== attempt) return;
    attempt.heardAt = clock.now();
    if (attempt.streaming) {
      onStreamData(attempt, chunk);
      return;
    }
    attempt.chunks.push(chunk);
    attempt.size += chunk.length;
    if (attempt.size <= GREATEST_KEPT || attempt.head === undefined) return;
    if (!answer.isBegun) answer.begin(attempt.head);
    passOn(attempt, Buffer.concat(attempt.chunks.splice(0)));
  };
  const onStreamData = (attempt: Attempt, chunk: Buffer): void => {
    const { bytes, count } = splitter.feed(chunk);
    if (splitter.isOverlong) {
      note("no-events", { worker: attempt.worker.id });
      repeat("worker-garbled");
      return;
    }
    if (count === 0) return;
    if (!attempt.hasEvent) {
      attempt.hasEvent = true;
      attempt.run.read();
      context.began(arrival.account?.name, clock.now());
    }
    if (!answer.isBegun && attempt.head !== undefined) {
      answer.begin(attempt.head);
      context.metrics.firstEvent(route.name, clock.now() - arrival.arrivedAt);
    }
    passOn(attempt, bytes);
  };
  const passOn = (attempt: Attempt, bytes: Buffer): void => {
    if (answer.write(bytes)) return;
    attempt.isPaused = true;
    attempt.exchange?.pause();
  };
  answer.onDrain(() => {
    if (current === undefined) return;
    current.isPaused = false;
    current.heardAt = clock.now();
    current.exchange?.resume();
  });

  const onEnd = (attempt: Attempt, end: ExchangeEnd): void => {
    if (current !== attempt) return;
    if (end.kind === "complete") {
      onComplete(attempt);
      return;
    }
    note(end.kind, { worker: attempt.worker.id, detail: end.detail });
    if (end.kind === "not-sent") {
      onNotSent(end.isRefused);
      return;
    }
    mayHaveRun = true;
    context.checks.broke(attempt.worker, print);
    countUnanswered(attempt);
    repeat("worker-lost");
  };
  /** Tries another worker. Nothing has reached the first one, so this is not a repeat. */
  const onNotSent = (isRefused: boolean): void => {
    runs--;
    endAttempt(isRefused ? RunResult.Unreachable : RunResult.Failed);
    context.metrics.repeated("not-sent");
    tryNext();
  };
  /**
   * Counts a run without a response as started. A stream counts as started with its first event;
   * any other request has most probably run where it was sent.
   */
  const countUnanswered = (attempt: Attempt): void => {
    if (!isStream) context.began(arrival.account?.name, attempt.startedAt);
  };
  const onComplete = (attempt: Attempt): void => {
    const { head } = attempt;
    if (head === undefined) return;
    if (attempt.streaming) {
      onStreamComplete(attempt);
      return;
    }
    const body = Buffer.concat(attempt.chunks);
    if (answer.isBegun) {
      endAttempt(RunResult.Answered);
      // A worker refused or failed to continue a stream of which the caller has the beginning.
      if (isStream) {
        repeatAfter(attempt, head);
        return;
      }
      complete(head.status, () => {
        answer.write(body);
        answer.end();
      });
      return;
    }
    if (head.byName.has(names.notRun) || head.status === MISDIRECTED) {
      runs--;
      const replaced = head.status === MISDIRECTED;
      endAttempt(replaced ? RunResult.Replaced : RunResult.Refused);
      note("not-run", { worker: attempt.worker.id, status: head.status });
      sendElsewhere("refused-by-worker");
      return;
    }
    context.began(arrival.account?.name, attempt.startedAt);
    context.quarantine.answered(print);
    mayHaveRun = true;
    const failed = head.status >= SERVER_ERROR && head.status !== GATEWAY_TIMEOUT;
    endAttempt(failed ? RunResult.Failed : RunResult.Answered);
    if (failed && mayRepeat() && repeats.take(service.name, clock.now())) {
      context.metrics.repeated("worker-error");
      tryNextOr(() => passWhole(head, body));
      return;
    }
    passWhole(head, body);
  };
  const passWhole = (head: AnswerHead, body: Buffer): void =>
    complete(head.status, () => answer.whole(head, body));
  /** Tries another worker, or calls the function if there is none. */
  const tryNextOr = (otherwise: () => void): void => {
    const isElsewhere = board.candidates(service).some(({ id }) => !tried.has(id));
    if (isElsewhere) tryNext();
    else otherwise();
  };
  const repeatAfter = (attempt: Attempt, head: AnswerHead): void => {
    if (head.byName.has(names.notRun)) runs--;
    note("not-continued", { worker: attempt.worker.id, status: head.status });
    sendElsewhere("not-continued");
  };
  const onStreamComplete = (attempt: Attempt): void => {
    endAttempt(RunResult.Answered);
    context.quarantine.answered(print);
    if (!attempt.hasEvent) context.began(arrival.account?.name, attempt.startedAt);
    if (!answer.isBegun && attempt.head !== undefined) answer.begin(attempt.head);
    complete(attempt.head?.status ?? SUCCESS, () => {
      if (splitter.rest.length > 0) answer.write(splitter.rest);
      answer.end();
    });
  };
  const complete = (status: number, write: () => void): void => {
    finish();
    const took = clock.now() - arrival.arrivedAt;
    context.metrics.answered(route.name, status, took);
    note("answered", { status, runs, after: Math.round(took) });
    if (!answer.isOver) write();
  };
  const mayRepeat = (): boolean => repeatable && runs < route.attempts;
  /** Handles an attempt that failed after it may have run. */
  const repeat = (cause: string): void => {
    mayHaveRun = true;
    const isLeaving = cause === "worker-leaving";
    // A request that may not be repeated stays at its worker, if the worker is still running it.
    if (isLeaving && !mayRepeat()) return;
    endAttempt(isLeaving ? RunResult.Abandoned : RunResult.Failed)?.abort();
    if (mayRepeat()) sendElsewhere(cause);
    else refuse(RoutedRefusal.WorkerLost);
  };
  const sendElsewhere = (cause: string): void => {
    endAttempt(RunResult.Failed);
    if (runs >= route.attempts || !repeats.take(service.name, clock.now())) {
      giveUp(RoutedRefusal.Refused, BUSY_RETRY);
      return;
    }
    context.metrics.repeated(cause);
    tryNext();
  };
  /** Abandons a worker that hangs. Its connection stays open, so nothing else would detect this. */
  const watchSilence = (attempt: Attempt): void => {
    look?.close();
    look = clock.after(SILENCE_LOOK, () => {
      if (isDone || current !== attempt) return;
      const heardAt = connections.heardAt(attempt.worker.id);
      const moment = { now: clock.now(), heardAt, isStream, target: route.target };
      if (!isSilentAttempt(attempt, moment) || !mayRepeat()) {
        watchSilence(attempt);
        return;
      }
      note("silent", { worker: attempt.worker.id });
      countUnanswered(attempt);
      repeat("worker-silent");
    });
  };

  repeats.requested(service.name, clock.now());
  tryNext();
  return {
    abandon: () => {
      if (isDone) return;
      finish();
      note("abandoned", { runs, after: Math.round(clock.now() - arrival.arrivedAt) });
      endAttempt(RunResult.Abandoned)?.abort();
    },
  };
}

function isSuccess(status: number): boolean {
  return status >= SUCCESS && status < REDIRECTION;
}
