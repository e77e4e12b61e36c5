/**
 * The requests of a simulated backend server, with protection against running one twice.
 *
 * A dispatch can arrive again: its acknowledgement was lost, or its owner was paused and resumes
 * after another instance took over. A dispatch with a known id joins the existing run instead of
 * starting another one. Older attempts, barred ids and, if enabled, older fencing tokens are
 * refused.
 *
 * @module
 */
import { CANCELLED_RUN, EngineRequestState } from "../interface/index.ts";
import type { Dispatch, EngineEvent } from "../interface/index.ts";
import { parseEngineRequest } from "./engine_request.ts";
import type { RequestEvent, TokenSource } from "./token_source.ts";

/** Receives the events of a request. */
export type Subscriber = (events: readonly EngineEvent[]) => void;

/** Reason why a backend server refuses to run a request. */
export type RunRefusal = "barred" | "bad body" | "too large" | "old attempt" | "old fencing number";

/** The requests that a simulated backend server has received. */
export interface RequestTable {
  /**
   * Runs a request, or joins its run if there already is one, whether in progress or finished.
   *
   * @returns The reason of a refusal, or undefined if the subscriber receives the events.
   */
  run(dispatch: Dispatch, subscriber: Subscriber): RunRefusal | undefined;
  /**
   * Joins a request from a token onward. Returns false if the request is unknown or cancelled, or
   * if the token was produced elsewhere.
   */
  attach(id: string, fromToken: number, subscriber: Subscriber): boolean;
  /** Removes a subscriber. The request continues. */
  unsubscribe(id: string, subscriber: Subscriber): void;
  /** Cancels a request. An unknown or finished one is ignored. */
  cancel(id: string): void;
  /**
   * Returns the state of a request. With `bar`, an unknown id is barred, so that it is never run
   * here.
   */
  query(id: string, bar: boolean): EngineRequestState;
  /**
   * Number of runs of each request that started here from its beginning. For a request that may not
   * be repeated, the sum over all servers must stay at 1. A run that resumes from tokens or from an
   * imported KV cache is not counted.
   */
  readonly runs: ReadonlyMap<string, number>;
}

interface RequestEntry {
  readonly attempt: number;
  readonly fence: number;
  /** Index of the first token that is produced here. The earlier ones came with the dispatch. */
  readonly firstToken: number;
  /** Index of the next token. */
  nextToken: number;
  /** The event of the run's start, with the number of tokens that were computed again. */
  startEvent: Extract<EngineEvent, { kind: "started" }> | undefined;
  endEvent: Extract<EngineEvent, { kind: "finished" }> | undefined;
  isCancelled: boolean;
  readonly subscribers: Set<Subscriber>;
}

/**
 * Number of requests above which ended ones are removed, the oldest first. Ended requests are kept
 * to answer late queries.
 */
const MAX_REQUESTS = 10_000;

/** Creates an empty table. */
export function createRequestTable(
  source: TokenSource,
  { checksFence }: { checksFence: boolean },
): RequestTable {
  const entries = new Map<string, RequestEntry>();
  const barred = new Set<string>();
  const runs = new Map<string, number>();

  const evictEndedRequests = (): void => {
    for (const [id, entry] of entries) {
      if (entries.size <= MAX_REQUESTS) return;
      if (entry.endEvent !== undefined || entry.isCancelled) entries.delete(id);
    }
  };
  const publish = (entry: RequestEntry, events: readonly RequestEvent[], attempt: number): void => {
    const engineEvents = events.flatMap((event) => toEngineEvents(event, attempt));
    for (const event of engineEvents) {
      if (event.kind === "started") entry.startEvent = event;
      if (event.kind === "token") entry.nextToken = event.index + 1;
      if (event.kind === "finished") entry.endEvent = event;
    }
    for (const subscriber of entry.subscribers) subscriber(engineEvents);
  };
  const startRun = (dispatch: Dispatch, subscriber: Subscriber): RunRefusal | undefined => {
    const { id, attempt, tokens } = dispatch;
    const request = parseEngineRequest(dispatch);
    if (request === undefined) return "bad body";
    const entry: RequestEntry = {
      attempt,
      fence: dispatch.fence ?? 0,
      firstToken: tokens.length,
      nextToken: tokens.length,
      startEvent: undefined,
      endEvent: undefined,
      isCancelled: false,
      subscribers: new Set([subscriber]),
    };
    entries.delete(id);
    entries.set(id, entry);
    evictEndedRequests();
    const isContinuation = tokens.length > 0 || dispatch.cache !== undefined;
    if (!isContinuation) runs.set(id, (runs.get(id) ?? 0) + 1);
    const isAccepted = source.start(request, (events) => publish(entry, events, attempt));
    if (isAccepted) return undefined;
    entries.delete(id);
    return "too large";
  };
  const subscribe = (entry: RequestEntry, fromToken: number, subscriber: Subscriber): void => {
    subscriber(missedEvents(entry, fromToken));
    if (entry.endEvent === undefined) entry.subscribers.add(subscriber);
  };
  return {
    runs,
    run: (dispatch, subscriber) => {
      const { id, attempt, fence } = dispatch;
      if (barred.has(id)) return "barred";
      const existing = entries.get(id);
      if (existing === undefined) return startRun(dispatch, subscriber);
      if (checksFence && (fence ?? 0) < existing.fence) return "old fencing number";
      if (attempt < existing.attempt) return "old attempt";
      if (!existing.isCancelled) {
        subscribe(existing, dispatch.tokens.length, subscriber);
        return undefined;
      }
      return attempt === existing.attempt ? "old attempt" : startRun(dispatch, subscriber);
    },
    attach: (id, fromToken, subscriber) => {
      const existing = entries.get(id);
      if (existing === undefined || existing.isCancelled) return false;
      // Tokens that came with the dispatch can't be sent from here.
      if (fromToken < existing.firstToken) return false;
      subscribe(existing, fromToken, subscriber);
      return true;
    },
    unsubscribe: (id, subscriber) => {
      entries.get(id)?.subscribers.delete(subscriber);
    },
    cancel: (id) => {
      const existing = entries.get(id);
      if (existing === undefined || existing.endEvent !== undefined) return;
      existing.isCancelled = true;
      source.cancel(id);
      for (const subscriber of existing.subscribers)
        subscriber([{ kind: "finished", reason: CANCELLED_RUN }]);
      existing.subscribers.clear();
    },
    query: (id, bar) => {
      const existing = entries.get(id);
      if (existing !== undefined) return stateOf(existing);
      if (bar) barred.add(id);
      return barred.has(id) ? EngineRequestState.Barred : EngineRequestState.Unknown;
    },
  };
}

function stateOf({ isCancelled, endEvent }: RequestEntry): EngineRequestState {
  if (isCancelled) return EngineRequestState.Cancelled;
  return endEvent === undefined ? EngineRequestState.Running : EngineRequestState.Finished;
}

/** Returns the events from a token onward that a late subscriber has missed. */
function missedEvents(entry: RequestEntry, fromToken: number): EngineEvent[] {
  const events: EngineEvent[] = entry.startEvent === undefined ? [] : [entry.startEvent];
  for (let index = fromToken; index < entry.nextToken; index++)
    events.push(createTokenEvent(index));
  if (entry.endEvent !== undefined) events.push(entry.endEvent);
  return events;
}

function createTokenEvent(index: number): EngineEvent {
  return { kind: "token", index, text: ` word${index}` };
}

function toEngineEvents(event: RequestEvent, attempt: number): EngineEvent[] {
  switch (event.kind) {
    case "started": {
      const { computed, cached } = event;
      return [{ kind: "started", recomputed: attempt > 1 ? computed : 0, cached }];
    }
    case "token":
      return [createTokenEvent(event.index)];
    case "finished":
      return [{ kind: "finished", reason: "stop" }];
    case "preempted":
      return [];
  }
}
