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
import type { Demand } from "./scenario.ts";

/** Client account of all simulated callers. */
export const ACCOUNT = "club";

/** Everything that a caller has received for its request. */
export interface Notes {
  readonly request: Demand;
  /** Request id; empty until the caller has received it. */
  id: string;
  /** Whether an instance has accepted the request. */
  accepted: boolean;
  /** Received tokens, in order. */
  readonly tokens: string[];
  /** Received final states, in order; "not-run" for a rejection that states that the request has not run. */
  readonly ends: string[];
  /** Time when the last connection ended, in milliseconds of the virtual clock. */
  endedAt: number;
  /** Reasons for which connections ended without a final state, in order. */
  readonly delays: string[];
}

/** Access of a caller to the instances. */
export interface Reach {
  readonly clock: Clock;
  /** Returns the indices of the instances that accept connections now. */
  readonly open: () => readonly number[];
  /** Submits a request to an instance. */
  submit(instance: number, request: Demand, signal: AbortSignal): AsyncIterable<CallerEvent>;
  /** Follows a known request on an instance, from a token on. */
  follow(
    instance: number,
    position: { id: string; fromToken: number },
    signal: AbortSignal,
  ): AsyncIterable<CallerEvent>;
  /** Returns a signal that is aborted when the instance terminates. */
  gone(instance: number): AbortSignal;
}

/** Milliseconds between two attempts. */
const PAUSE = 500;
const TRIES = 60;

/** Creates the log of a caller that has not connected yet. */
export function emptyNotes(request: Demand): Notes {
  return { request, id: "", accepted: false, tokens: [], ends: [], endedAt: 0, delays: [] };
}

/** Submits a request, and retries on other instances until the caller has received a final state. */
export async function call(reach: Reach, notes: Notes): Promise<void> {
  const { request } = notes;
  await sleep(reach.clock, request.at);
  for (let tries = 0; tries < TRIES && notes.ends.length === 0; tries++) {
    if (tries > 0) await sleep(reach.clock, PAUSE);
    const instance = instanceFor(reach, { request, tries });
    if (instance === undefined) continue;
    const connection = connect(reach.gone(instance));
    const { signal } = connection;
    const isKnown = notes.id !== "";
    // Without an id or a key, a second submission would be a new request.
    if (tries > 0 && !isKnown && request.key === undefined) break;
    const position = { id: notes.id, fromToken: notes.tokens.length };
    const events = isKnown
      ? reach.follow(instance, position, signal)
      : reach.submit(instance, request, signal);
    await hear(notes, { events, signal });
    connection.close();
    notes.endedAt = reach.clock.now();
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
function connect(gone: AbortSignal): Connection {
  const ending = new AbortController();
  const abort = (): void => ending.abort(gone.reason);
  if (gone.aborted) abort();
  else gone.addEventListener("abort", abort);
  const close = (): void => {
    gone.removeEventListener("abort", abort);
    ending.abort(new Error("the caller closed its connection"));
  };
  return { signal: ending.signal, close };
}

function instanceFor(
  reach: Reach,
  { request, tries }: { request: Demand; tries: number },
): number | undefined {
  const open = reach.open();
  if (tries === 0 && open.includes(request.instance)) return request.instance;
  return open[(request.instance + tries) % Math.max(1, open.length)];
}

async function hear(
  notes: Notes,
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
      notes.delays.push("broken");
      return;
    }
    if (next.done === true) return;
    note(notes, next.value);
  }
}

function note(notes: Notes, event: CallerEvent): void {
  switch (event.kind) {
    case "accepted":
      notes.accepted = true;
      notes.id = event.id;
      break;
    case "token":
      notes.tokens.push(event.text);
      break;
    case "ended":
      notes.id = event.record.id;
      if (hasEnded(event.record.state)) notes.ends.push(event.record.state);
      else notes.delays.push(event.record.reason);
      break;
    case "rejected":
      notes.id = event.rejection.id ?? notes.id;
      if (event.rejection.notRun) notes.ends.push(RequestState.NotRun);
      else notes.delays.push(event.rejection.reason);
      break;
  }
}
