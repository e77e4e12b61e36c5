import type { Exchange, ExchangeEnd, ResponseHead, Timer } from "../interface/index.ts";
import type { CallerResponse } from "./caller_response.ts";
import { createCrashSuspects } from "./crash_suspects.ts";
import type { CrashSuspects } from "./crash_suspects.ts";
import { createEventSplitter } from "./event_splitter.ts";
import type { EventSplitter } from "./event_splitter.ts";
import type { Attempt } from "./routed_attempt.ts";
import { RunResult } from "./routed_context.ts";
import type { DecisionFields, RoutedContext } from "./routed_context.ts";
import { createRunProgress } from "./routed_progress.ts";
import type { RunProgress } from "./routed_progress.ts";
import { deliversEvents } from "./routed_request.ts";
import type { AdmittedRequest } from "./routed_request.ts";

/** The attempt that a request moves away from. It goes on there if no other worker answers. */
interface ReservedAttempt {
  readonly attempt: Attempt;
  /** Result of its run once another worker has answered. */
  readonly result: RunResult;
  /** What has arrived of its next event. */
  readonly partialEvent: Buffer;
  /** Whether the worker that the request moved to was just as silent, so that the silence says nothing about this one. */
  readonly isSilenceShared: boolean;
}

/**
 * The state of a request's run. The steps of a run are functions of this state, so that a request
 * creates no closures for them.
 */
export interface RoutedRunState {
  readonly context: RoutedContext;
  readonly admitted: AdmittedRequest;
  /** The response to the caller. */
  readonly response: CallerResponse;
  readonly progress: RunProgress;
  readonly suspects: CrashSuspects;
  /** Splits the streams of all attempts, each of which continues the one before it. */
  readonly splitter: EventSplitter;
  /**
   * Sends the request to the next worker, or refuses it if there is none. It is a part of the state
   * because the placement leads to attempts, whose failures lead to the placement again.
   */
  readonly tryNext: () => void;
  /** Watches whether the worker of an attempt hangs. A part of the state for the same reason. */
  readonly watch: (attempt: Attempt) => void;
  /** The attempt in progress; undefined between two attempts. Events of other attempts are ignored. */
  current: Attempt | undefined;
  /** The attempt that is kept until the one in progress has answered. Nothing of its response is read. */
  reserve: ReservedAttempt | undefined;
  /** The head of the stream of which the caller has the beginning; undefined before its first event. */
  streamHead: ResponseHead | undefined;
  /** Whether the request has ended. */
  isDone: boolean;
  /** Ends the request after its deadline. */
  deadlineTimer: Timer | undefined;
  /** Checks whether the worker of an attempt hangs. */
  silenceTimer: Timer | undefined;
  /** Sends the request again after no path to the workers was found. */
  pathTimer: Timer | undefined;
  /** Notifies the run when the worker of an attempt is about to leave. */
  leavingSubscription: { close(): void } | undefined;
}

/** Creates the state of a run that hasn't sent its request yet. */
export function createRunState(
  context: RoutedContext,
  parts: Pick<RoutedRunState, "admitted" | "response" | "tryNext" | "watch">,
): RoutedRunState {
  const { admitted } = parts;
  return {
    context,
    ...parts,
    progress: createRunProgress(admitted.version),
    suspects: createCrashSuspects(context, admitted),
    splitter: createEventSplitter(),
    current: undefined,
    reserve: undefined,
    streamHead: undefined,
    isDone: false,
    deadlineTimer: undefined,
    silenceTimer: undefined,
    pathTimer: undefined,
    leavingSubscription: undefined,
  };
}

/** Writes a line about the request to the decision log. */
export function logStep(
  { context, admitted }: RoutedRunState,
  step: string,
  fields: DecisionFields,
): void {
  const { id, route } = admitted.arrival;
  context.logDecision(step, id, { route: route.name, ...fields });
}

/**
 * Detaches the attempt in progress, so that its later events are ignored, and records its result.
 *
 * @returns Its exchange; undefined if there is none.
 */
export function endAttempt(state: RoutedRunState, result: RunResult): Exchange | undefined {
  const { current } = state;
  state.current = undefined;
  state.leavingSubscription?.close();
  current?.run.end(result);
  return current?.exchange;
}

/**
 * Detaches the attempt in progress like {@linkcode endAttempt}, but keeps it in case no other worker answers. Only one
 * attempt is kept: if there is one already, this one is aborted.
 *
 * Another worker may be busy, refuse the request or fail. If the attempt were aborted before, the caller would lose an
 * answer that its worker still sends.
 */
export function reserveAttempt(state: RoutedRunState, result: RunResult): void {
  const { current: attempt, splitter } = state;
  if (attempt === undefined) return;
  if (state.reserve !== undefined) {
    endAttempt(state, result)?.abort();
    return;
  }
  state.current = undefined;
  state.leavingSubscription?.close();
  attempt.exchange?.hold();
  const { partialEvent } = splitter;
  state.reserve = { attempt, result, partialEvent, isSilenceShared: false };
}

/**
 * Continues the kept attempt, because no other worker has answered.
 *
 * @returns The attempt; undefined if none is kept.
 */
export function resumeReserve(state: RoutedRunState): Attempt | undefined {
  const { context, reserve, splitter } = state;
  if (reserve === undefined) return undefined;
  const { attempt, partialEvent } = reserve;
  state.reserve = undefined;
  state.current = attempt;
  splitter.replacePartial(partialEvent);
  attempt.isPaused = false;
  attempt.lastReceivedAt = context.clock.now();
  attempt.exchange?.resume();
  state.watch(attempt);
  return attempt;
}

/**
 * Continues the kept attempt and keeps the one in progress instead, because that one is silent. What has arrived from
 * the kept worker meanwhile would otherwise never be read.
 *
 * @returns Whether there was a kept attempt.
 */
export function swapReserve(state: RoutedRunState): boolean {
  const { reserve, current } = state;
  if (reserve === undefined || current === undefined) return false;
  state.reserve = undefined;
  reserveAttempt(state, RunResult.Failed);
  const { reserve: swapped } = state;
  state.reserve = reserve;
  const resumed = resumeReserve(state);
  state.reserve = swapped;
  logStep(state, "stays", { worker: resumed?.worker.id, reason: "next-worker-silent" });
  return true;
}

/** Aborts the kept attempt, because another worker has answered or the request has ended. */
export function releaseReserve(state: RoutedRunState): void {
  const { reserve } = state;
  if (reserve === undefined) return;
  state.reserve = undefined;
  const { attempt, result, isSilenceShared } = reserve;
  if (result === RunResult.Failed) countUnanswered(state, attempt);
  attempt.run.end(isSilenceShared ? RunResult.Abandoned : result);
  attempt.exchange?.abort();
}

/** Forgets the kept attempt, because its exchange has ended. Its worker may have crashed. */
export function dropReserve(state: RoutedRunState, end: ExchangeEnd): void {
  const { reserve, suspects } = state;
  if (reserve === undefined) return;
  const { attempt } = reserve;
  state.reserve = undefined;
  attempt.run.end(RunResult.Failed);
  if (end.kind !== "broken" || end.isRelayFault === true) return;
  logStep(state, "kept-broken", { worker: attempt.worker.id, detail: end.detail });
  suspects.reportBrokenConnection(attempt);
}

/**
 * Counts a run without a response as started. A stream counts as started with its first event;
 * any other request has most probably run where it was sent.
 */
export function countUnanswered(
  { context, admitted: { arrival } }: Pick<RoutedRunState, "admitted" | "context">,
  { startedAt }: Attempt,
): void {
  if (!deliversEvents(arrival.route)) context.recordStart(arrival.account?.name, startedAt);
}

/** Marks the request as ended, and closes its timers, its subscription and the kept attempt. */
export function finishRun(state: RoutedRunState): void {
  state.isDone = true;
  releaseReserve(state);
  state.deadlineTimer?.close();
  state.silenceTimer?.close();
  state.pathTimer?.close();
  state.leavingSubscription?.close();
}
