import { sumTokens } from "../decision/index.ts";
import type { RankedChoice } from "../decision/index.ts";
import type { Exchange, ExchangeSink, WorkerRequest } from "../interface/index.ts";
import { sharedParts } from "./routed_arrival.ts";
import { createAttempt } from "./routed_attempt.ts";
import type { Attempt } from "./routed_attempt.ts";
import { handleCompletion } from "./routed_completion.ts";
import { RunResult } from "./routed_context.ts";
import type { CandidateWorker } from "./routed_context.ts";
import { handleFailure } from "./routed_failures.ts";
import { receiveData } from "./routed_forwarding.ts";
import { receiveHead } from "./routed_head.ts";
import { buildAddedHeaders, buildRequestHeaders } from "./routed_headers.ts";
import { recordSent } from "./routed_progress.ts";
import { leaveWorker } from "./routed_repeats.ts";
import { canContinueStreams, deliversEvents, isRepeatable } from "./routed_request.ts";
import { dropReserve, endAttempt, logStep } from "./routed_run_state.ts";
import type { RoutedRunState } from "./routed_run_state.ts";
import { watchSilence } from "./routed_silence.ts";

/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 6;

/**
 * Begins an attempt at a worker.
 *
 * @returns False if all connections to the worker are in use.
 */
export function sendRequest(state: RoutedRunState, choice: RankedChoice<CandidateWorker>): boolean {
  const { context, admitted, progress, splitter } = state;
  const { worker, prefillTokens, wait } = choice;
  const { route, promptParts } = admitted.arrival;
  const now = context.clock.now();
  progress.hasPartialEvent ||= splitter.partialEvent.length > 0;
  splitter.discardPartial();
  const run = context.workerLoads.begin(worker, {
    prefillTokens,
    route: route.name,
    promptTokens: sumTokens(promptParts),
  });
  const attempt = createAttempt(worker, { run, now, wait });
  state.current = attempt;
  const exchange = startExchange(state, attempt);
  if (exchange === undefined) {
    endAttempt(state, RunResult.Abandoned);
    return false;
  }
  attempt.exchange = exchange;
  recordSent(progress, worker.id);
  logSent(state, { attempt, choice });
  if (isRepeatable(route)) watchAttempt(state, attempt);
  return true;
}

function startExchange(state: RoutedRunState, attempt: Attempt): Exchange | undefined {
  const { context, admitted } = state;
  const { route } = admitted.arrival;
  return context.connections.exchange(attempt.worker, buildRequest(state, attempt), {
    sink: createSink(state, attempt),
    repeatable: isRepeatable(route),
    needsProcess: canContinueStreams(route),
    maxConnections: attempt.worker.maxConnections,
  });
}

function buildRequest(
  { context: { clock, names }, admitted, splitter }: RoutedRunState,
  { worker }: Attempt,
): WorkerRequest {
  const { request, arrival, service, body } = admitted;
  const { lastId: lastEventId } = splitter;
  return {
    method: request.method ?? "GET",
    target: request.url ?? "/",
    get headers() {
      const added = buildAddedHeaders(names, {
        // A connection may have been established long after the attempt began.
        timeLeft: arrival.deadlineAt - clock.now(),
        worker: worker.id,
        account: arrival.account?.name,
        priority: service.engine === undefined ? undefined : arrival.rank,
        lastEventId,
      });
      return buildRequestHeaders(request, { names, added });
    },
    body,
    id: arrival.id,
  };
}

/** Creates the receiver of the attempt's response. */
function createSink(state: RoutedRunState, attempt: Attempt): ExchangeSink {
  const isKept = (): boolean => state.reserve?.attempt === attempt;
  return {
    head: (head) => receiveHead(state, { attempt, head }),
    data: (chunk) => receiveData(state, { attempt, chunk }),
    end: (end) => {
      if (isKept()) dropReserve(state, end);
      if (state.current !== attempt) return;
      if (end.kind === "complete") handleCompletion(state, attempt);
      else handleFailure(state, { attempt, failure: end });
    },
  };
}

/** Watches whether the worker of the attempt is about to leave or hangs. */
function watchAttempt(state: RoutedRunState, attempt: Attempt): void {
  const { context, admitted } = state;
  const isStream = deliversEvents(admitted.arrival.route);
  state.leavingSubscription = context.workerLoads.onLeaving(attempt.worker.id, () => {
    if (state.current === attempt && isStream) leaveWorker(state);
  });
  watchSilence(state, attempt);
}

function logSent(
  state: RoutedRunState,
  {
    attempt,
    choice,
  }: { readonly attempt: Attempt; readonly choice: RankedChoice<CandidateWorker> },
): void {
  const { arrival, fingerprint } = state.admitted;
  const { worker, cost, prefillTokens, wait } = choice;
  logStep(state, "sent", {
    worker: worker.id,
    version: worker.version,
    account: arrival.account?.name,
    tokens: arrival.declaredTokens,
    print: fingerprint.name,
    parts: sharedParts(arrival).slice(0, MAX_LOGGED_PARTS).join(" "),
    run: state.progress.runs,
    cost: Math.round(cost),
    wait: Math.round(wait),
    reads: prefillTokens,
    unread: worker.unreadTokens,
    running: worker.running,
    age: Math.round(attempt.startedAt - arrival.arrivedAt),
    left: Math.round(arrival.deadlineAt - attempt.startedAt),
    from: state.splitter.lastId ?? arrival.resumption?.lastEventId,
  });
}
