/**
 * Callers of the fault simulation.
 *
 * Each caller submits one request and follows it on any instance until it receives a final state. A caller that
 * loses its connection or receives a retryable rejection retries on another instance. It records everything it
 * receives, so that the guarantees are checked from the caller's side.
 *
 * @module
 */
import { hasEnded, RequestState } from "../../src/interface/index.ts";
import type { Clock } from "../../src/interface/index.ts";
import { sleep } from "../../src/interface/index.ts";
import type { CallerEvent } from "../../src/request/index.ts";
import type { CallerRequest } from "./scenario.ts";

/** Client account of all simulated callers. */
export const ACCOUNT = "club";

/** Everything that a caller has received for its request. */
export interface CallerLog {
  readonly request: CallerRequest;
  /** Request id; empty until the caller has received it. */
  id: string;
  /** Whether an instance has accepted the request. */
  accepted: boolean;
  /** Received tokens, in order. */
  readonly tokens: string[];
  /** Received final states, in order; "not-run" for a rejection that states that the request has not run. */
  readonly finalStates: string[];
  /** Time when the last connection ended, in milliseconds of the virtual clock. */
  endedAt: number;
  /** Reasons for which connections ended without a final state, in order. */
  readonly interruptions: string[];
}

/** Access of a caller to the instances. */
export interface FleetClient {
  readonly clock: Clock;
  /** Returns the indices of the instances that accept connections now. */
  readonly runningInstances: () => readonly number[];
  /** Submits a request to an instance. */
  submit(instance: number, request: CallerRequest, signal: AbortSignal): AsyncIterable<CallerEvent>;
  /** Follows a known request on an instance, from a token on. */
  follow(
    instance: number,
    position: { id: string; fromToken: number },
    signal: AbortSignal,
  ): AsyncIterable<CallerEvent>;
  /** Returns a signal that is aborted when the instance terminates. */
  terminationSignal(instance: number): AbortSignal;
}

/** Milliseconds between two attempts. */
const RETRY_DELAY = 500;
const MAX_ATTEMPTS = 60;

/** Creates the log of a caller that has not connected yet. */
export function createCallerLog(request: CallerRequest): CallerLog {
  return {
    request,
    id: "",
    accepted: false,
    tokens: [],
    finalStates: [],
    endedAt: 0,
    interruptions: [],
  };
}

/** Submits a request, and retries on other instances until the caller has received a final state. */
export async function runCaller(client: FleetClient, log: CallerLog): Promise<void> {
  const { request } = log;
  await sleep(client.clock, request.at);
  for (let attempt = 0; attempt < MAX_ATTEMPTS && log.finalStates.length === 0; attempt++) {
    if (attempt > 0) await sleep(client.clock, RETRY_DELAY);
    const instance = instanceFor(client, { request, attempt });
    if (instance === undefined) continue;
    const connection = connect(client.terminationSignal(instance));
    const { signal } = connection;
    const isKnown = log.id !== "";
    // Without an id or a key, a second submission would be a new request.
    if (attempt > 0 && !isKnown && request.key === undefined) break;
    const position = { id: log.id, fromToken: log.tokens.length };
    const events = isKnown
      ? client.follow(instance, position, signal)
      : client.submit(instance, request, signal);
    await readEvents(log, { events, signal });
    connection.close();
    log.endedAt = client.clock.now();
  }
}

/** Connection to an instance; its signal is aborted when the instance terminates. */
interface Connection {
  readonly signal: AbortSignal;
  close(): void;
}

/**
 * Connects to an instance. Each connection has its own signal: the instance's signal lives as long as the
 * scenario and would retain the listeners of every request until then.
 */
function connect(termination: AbortSignal): Connection {
  const ending = new AbortController();
  const abort = (): void => ending.abort(termination.reason);
  if (termination.aborted) abort();
  else termination.addEventListener("abort", abort);
  const close = (): void => {
    termination.removeEventListener("abort", abort);
    ending.abort(new Error("the caller closed its connection"));
  };
  return { signal: ending.signal, close };
}

function instanceFor(
  client: FleetClient,
  { request, attempt }: { request: CallerRequest; attempt: number },
): number | undefined {
  const running = client.runningInstances();
  if (attempt === 0 && running.includes(request.instance)) return request.instance;
  return running[(request.instance + attempt) % Math.max(1, running.length)];
}

async function readEvents(
  log: CallerLog,
  { events, signal }: { events: AsyncIterable<CallerEvent>; signal: AbortSignal },
): Promise<void> {
  const iterator = events[Symbol.asyncIterator]();
  const broken = new Promise<"broken">((resolve) => {
    if (signal.aborted) resolve("broken");
    signal.addEventListener("abort", () => resolve("broken"), { once: true });
  });
  for (;;) {
    const next = await Promise.race([iterator.next().catch(() => "broken" as const), broken]);
    if (next === "broken") {
      log.interruptions.push("broken");
      return;
    }
    if (next.done === true) return;
    recordEvent(log, next.value);
  }
}

function recordEvent(log: CallerLog, event: CallerEvent): void {
  switch (event.kind) {
    case "accepted":
      log.accepted = true;
      log.id = event.id;
      break;
    case "token":
      log.tokens.push(event.text);
      break;
    case "ended":
      log.id = event.record.id;
      if (hasEnded(event.record.state)) log.finalStates.push(event.record.state);
      else log.interruptions.push(event.record.reason);
      break;
    case "rejected":
      log.id = event.rejection.id ?? log.id;
      if (event.rejection.notRun) log.finalStates.push(RequestState.NotRun);
      else log.interruptions.push(event.rejection.reason);
      break;
  }
}
