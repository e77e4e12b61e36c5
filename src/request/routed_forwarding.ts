/**
 * Forwards what workers respond to the caller while the response is incomplete.
 *
 * @module
 */
import type { ResponseHead } from "../interface/index.ts";
import type { Attempt } from "./routed_attempt.ts";
import { RepeatCause, retry } from "./routed_repeats.ts";
import { logStep, releaseReserve } from "./routed_run_state.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

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

/** Handles bytes of the body of a worker's response. */
export function receiveData(state: RoutedRunState, { attempt, chunk }: ReceivedChunk): void {
  if (state.current !== attempt) return;
  if (attempt.isStreaming) receiveEvents(state, { attempt, chunk });
  else receiveBody(state, { attempt, chunk });
}

/** Continues reading from the worker when the caller has caught up. */
export function resumeReading({ context, current }: RoutedRunState): void {
  if (current === undefined) return;
  const now = context.clock.now();
  if (current.isPaused) current.pausedFor += now - current.pausedAt;
  current.isPaused = false;
  current.lastReceivedAt = now;
  current.exchange?.resume();
}

function receiveBody(state: RoutedRunState, { attempt, chunk }: ReceivedChunk): void {
  const { context, response } = state;
  attempt.lastReceivedAt = context.clock.now();
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
  if (!response.write(buffered)) pauseReading(state, attempt);
}

/** Accounts for what is held of the responses of all attempts; returns whether it is within the limit. */
function holdReceived({ response, current, splitter, reserve }: RoutedRunState): boolean {
  const partialEvents = splitter.partialEvent.length + (reserve?.partialEvent.length ?? 0);
  return response.received.hold(partialEvents + (current?.bufferedBytes ?? 0));
}

function receiveEvents(state: RoutedRunState, { attempt, chunk }: ReceivedChunk): void {
  const { response, splitter, suspects, progress } = state;
  const { bytes, count } = splitter.push(chunk);
  const isWithinLimit = holdReceived(state);
  if (splitter.isRepeated) {
    logStep(state, "events-repeated", { worker: attempt.worker.id, after: splitter.lastId });
    retry(state, RepeatCause.WorkerGarbled);
    return;
  }
  if (splitter.isTooLong || (count === 0 && !isWithinLimit)) {
    response.received.recordExceeded(attempt.worker.id);
    logStep(state, "no-events", { worker: attempt.worker.id });
    retry(state, RepeatCause.WorkerGarbled);
    return;
  }
  // Only complete events count, since a faulty worker may send other bytes slowly and without end.
  if (count === 0) return;
  const now = state.context.clock.now();
  if (attempt.firstEventAt !== undefined)
    attempt.longestSilence = Math.max(attempt.longestSilence, now - attempt.lastReceivedAt);
  attempt.lastReceivedAt = now;
  progress.hasPartialEvent = false;
  releaseReserve(state);
  if (attempt.firstEventAt === undefined) recordFirstEvent(state, attempt);
  suspects.recordEvents(attempt);
  if (!response.hasStarted && attempt.head !== undefined) startStream(state, attempt.head);
  if (!response.write(bytes)) pauseReading(state, attempt);
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

function startStream(state: RoutedRunState, head: ResponseHead): void {
  const { context, admitted, response, progress } = state;
  const { arrival } = admitted;
  state.streamHead = head;
  response.start(head);
  const after = Math.round(context.clock.now() - arrival.arrivedAt);
  progress.firstEventAfter = after;
  context.metrics.firstEvent(arrival.route.name, after);
}

/** Stops reading from the worker until the caller has caught up. */
function pauseReading({ context }: RoutedRunState, attempt: Attempt): void {
  attempt.isPaused = true;
  attempt.pausedAt = context.clock.now();
  attempt.exchange?.pause();
}
