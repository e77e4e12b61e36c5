/**
 * Forwards what workers respond to the caller while the response is incomplete.
 *
 * @module
 */
import type { ResponseHead } from "../interface/index.ts";
import { silenceLimitOf } from "./routed_attempt.ts";
import type { Attempt } from "./routed_attempt.ts";
import { RepeatCause, retry } from "./routed_repeats.ts";
import { deliversEvents } from "./routed_request.ts";
import { logStep, releaseReserve } from "./routed_run_state.ts";
import type { RoutedRunState } from "./routed_run_state.ts";
import { parseWorkerTolerance } from "./worker_statement.ts";

/** Bytes of the body of an attempt's response. */
interface ReceivedChunk {
  readonly attempt: Attempt;
  readonly chunk: Buffer;
}

/**
 * Maximum size in bytes of a response that is buffered until it is complete, so that a truncated
 * one can be requested again. Larger responses are forwarded as they arrive.
 */
const MAX_BUFFERED_BYTES = 1_048_576;
const SUCCESS = 200;
const REDIRECTION = 300;

/** Handles the head of a worker's response. */
export function receiveHead(
  state: RoutedRunState,
  { attempt, head }: { readonly attempt: Attempt; readonly head: ResponseHead },
): void {
  const { context, admitted } = state;
  if (state.current !== attempt) return;
  recordSilence(state, attempt);
  attempt.lastReceivedAt = context.clock.now();
  attempt.head = head;
  attempt.run.recordResponse(parseWorkerTolerance(head, context.names));
  attempt.isStreaming = deliversEvents(admitted.arrival.route) && isSuccess(head.status);
}

/** Records how long the worker has stood still, so that it doesn't count as the usual time of a run. */
function recordSilence(state: RoutedRunState, attempt: Attempt): void {
  const { context, admitted, reserve } = state;
  const { route } = admitted.arrival;
  const options = { isStream: deliversEvents(route), target: route.latencyTarget };
  const now = context.clock.now();
  const silence = now - attempt.lastReceivedAt;
  const excess = silence - silenceLimitOf(attempt, options);
  if (excess <= 0) return;
  attempt.run.recordSilence(excess);
  if (reserve === undefined) return;
  // The worker that the request moved to was about as silent as the one before it.
  const isSilenceShared = 2 * silence >= now - reserve.attempt.lastReceivedAt;
  state.reserve = { ...reserve, isSilenceShared };
}

/** Handles bytes of the body of a worker's response. */
export function receiveData(state: RoutedRunState, { attempt, chunk }: ReceivedChunk): void {
  if (state.current !== attempt) return;
  attempt.lastReceivedAt = state.context.clock.now();
  if (attempt.isStreaming) receiveEvents(state, { attempt, chunk });
  else receiveBody(state, { attempt, chunk });
}

/** Continues reading from the worker when the caller has caught up. */
export function resumeReading({ context, current }: RoutedRunState): void {
  if (current === undefined) return;
  current.isPaused = false;
  current.lastReceivedAt = context.clock.now();
  current.exchange?.resume();
}

function receiveBody(state: RoutedRunState, { attempt, chunk }: ReceivedChunk): void {
  const { response } = state;
  attempt.chunks.push(chunk);
  attempt.bufferedBytes += chunk.length;
  const canBuffer = holdReceived(state) && attempt.bufferedBytes <= MAX_BUFFERED_BYTES;
  if ((canBuffer && !attempt.isForwarded) || attempt.head === undefined) return;
  releaseReserve(state);
  attempt.isForwarded = true;
  if (!response.hasStarted) response.start(attempt.head);
  const buffered = Buffer.concat(attempt.chunks.splice(0));
  attempt.bufferedBytes = 0;
  holdReceived(state);
  if (!response.write(buffered)) pauseReading(attempt);
}

/** Accounts for what is held of the responses of all attempts; returns whether it is within the limit. */
function holdReceived({ response, current, splitter, reserve }: RoutedRunState): boolean {
  const partialEvents = splitter.partialEvent.length + (reserve?.partialEvent.length ?? 0);
  return response.received.hold(partialEvents + (current?.bufferedBytes ?? 0));
}

function receiveEvents(state: RoutedRunState, { attempt, chunk }: ReceivedChunk): void {
  const { response, splitter, suspects } = state;
  const { bytes, count } = splitter.push(chunk);
  const isWithinLimit = holdReceived(state);
  if (splitter.isTooLong || (count === 0 && !isWithinLimit)) {
    response.received.recordExceeded(attempt.worker.id);
    logStep(state, "no-events", { worker: attempt.worker.id });
    retry(state, RepeatCause.WorkerGarbled);
    return;
  }
  if (count === 0) return;
  releaseReserve(state);
  if (attempt.firstEventAt === undefined) recordFirstEvent(state, attempt);
  suspects.recordEvents(attempt);
  if (!response.hasStarted && attempt.head !== undefined) startStream(state, attempt.head);
  if (!response.write(bytes)) pauseReading(attempt);
}

function recordFirstEvent(state: RoutedRunState, attempt: Attempt): void {
  const { context, admitted } = state;
  attempt.firstEventAt = context.clock.now();
  attempt.run.recordFirstEvent();
  context.recordStart(admitted.arrival.account?.name, context.clock.now());
  recordVersion(state, attempt);
}

/** Records the version that a stream began at before its caller gets the first event. */
function recordVersion({ context, admitted, progress }: RoutedRunState, { worker }: Attempt): void {
  const { arrival, service } = admitted;
  const version = (progress.version ??= worker.version);
  const id = arrival.resumption?.attempt ?? arrival.id;
  if (!arrival.route.resumable || id === undefined) return;
  const attempt = { account: arrival.account?.name, id };
  context.streamVersions.recordStart(attempt, { service: service.name, version });
}

function startStream(
  { context, admitted: { arrival }, response, progress }: RoutedRunState,
  head: ResponseHead,
): void {
  response.start(head);
  const after = Math.round(context.clock.now() - arrival.arrivedAt);
  progress.firstEventAfter = after;
  context.metrics.firstEvent(arrival.route.name, after);
}

/** Stops reading from the worker until the caller has caught up. */
function pauseReading(attempt: Attempt): void {
  attempt.isPaused = true;
  attempt.exchange?.pause();
}

function isSuccess(status: number): boolean {
  return status >= SUCCESS && status < REDIRECTION;
}
