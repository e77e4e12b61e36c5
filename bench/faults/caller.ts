import { hasEnded, RequestState } from "../../src/interface/index.ts";
import type { Clock } from "../../src/interface/index.ts";
import { sleep } from "../../src/interface/index.ts";
import type { CallerEvent } from "../../src/request/index.ts";
import type { Demand } from "./scenario.ts";

/** The account that all callers of the failure runs have. */
export const ACCOUNT = "club";

/** What a caller wrote down of what it was told. */
export interface Notes {
  readonly demand: Demand;
  id: string;
  accepted: boolean;
  /** Tokens in the order in which they came. */
  readonly tokens: string[];
  /** Ends that it was told, in order, and "not-run" for a rejection that says so. */
  readonly ends: string[];
  /** When it was told its end, in the clock's milliseconds. */
  endedAt: number;
  /** Why it gave up for now, in order. */
  readonly delays: string[];
}

/** How a caller reaches the instances. */
export interface Reach {
  readonly clock: Clock;
  /** The indices of instances that take connections now. */
  readonly open: () => readonly number[];
  submit(instance: number, demand: Demand, signal: AbortSignal): AsyncIterable<CallerEvent>;
  follow(
    instance: number,
    request: { id: string; fromToken: number },
    signal: AbortSignal,
  ): AsyncIterable<CallerEvent>;
  /** Aborted when the instance goes away. */
  gone(instance: number): AbortSignal;
}

const PAUSE = 500;
const TRIES = 60;

/** The notes of a caller that has not yet called. */
export function emptyNotes(demand: Demand): Notes {
  return { demand, id: "", accepted: false, tokens: [], ends: [], endedAt: 0, delays: [] };
}

/** A caller that brings its request, and asks again elsewhere as long as it is told no end. */
export async function call(reach: Reach, notes: Notes): Promise<void> {
  const { demand } = notes;
  await sleep(reach.clock, demand.at);
  for (let tries = 0; tries < TRIES && notes.ends.length === 0; tries++) {
    if (tries > 0) await sleep(reach.clock, PAUSE);
    const instance = instanceFor(reach, { demand, tries });
    if (instance === undefined) continue;
    const connection = connect(reach.gone(instance));
    const { signal } = connection;
    const isKnown = notes.id !== "";
    // Without an id or a key, to bring it again would be another request.
    if (tries > 0 && !isKnown && demand.key === undefined) break;
    const request = { id: notes.id, fromToken: notes.tokens.length };
    const events = isKnown
      ? reach.follow(instance, request, signal)
      : reach.submit(instance, demand, signal);
    await hear(notes, { events, signal });
    connection.close();
    notes.endedAt = reach.clock.now();
  }
}

/** A connection to an instance; its signal aborts when the instance goes. */
interface Connection {
  readonly signal: AbortSignal;
  close(): void;
}

/**
 * Connects to an instance. Each connection has a signal of its own: the instance's lives as long as the run, and
 * whatever listened to it for one request would be kept until then.
 */
function connect(gone: AbortSignal): Connection {
  const ending = new AbortController();
  const abort = (): void => ending.abort(gone.reason);
  if (gone.aborted) abort();
  else gone.addEventListener("abort", abort);
  const close = (): void => {
    gone.removeEventListener("abort", abort);
    ending.abort(new Error("The caller has closed its connection."));
  };
  return { signal: ending.signal, close };
}

function instanceFor(
  reach: Reach,
  { demand, tries }: { demand: Demand; tries: number },
): number | undefined {
  const open = reach.open();
  if (tries === 0 && open.includes(demand.instance)) return demand.instance;
  return open[(demand.instance + tries) % Math.max(1, open.length)];
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
