import { CANCELLED_RUN, EngineKnowledge } from "../interface/index.ts";
import type { Dispatch, EngineEvent } from "../interface/index.ts";
import { parseEngineRequest } from "./engine_request.ts";
import type { RequestEvent, TokenSource } from "./token_source.ts";

/** Somebody who is told a request's events. */
export type Subscriber = (events: readonly EngineEvent[]) => void;

/** Why a backend server doesn't run a request. */
export type RunRefusal = "barred" | "bad body" | "too large" | "old attempt" | "old fencing number";

/** The requests that a backend server stand-in has heard of. */
export interface RequestTable {
  /**
   * Runs a request, or joins it where it runs already.
   *
   * @returns The refusal, or undefined where the follower will be told the rest.
   */
  run(dispatch: Dispatch, subscriber: Subscriber): RunRefusal | undefined;
  /** Joins a request from a token on; false where none has the id. */
  attach(id: string, fromToken: number, subscriber: Subscriber): boolean;
  /** Stops telling a follower; the request goes on. */
  unsubscribe(id: string, subscriber: Subscriber): void;
  cancel(id: string): void;
  query(id: string, bar: boolean): EngineKnowledge;
  /**
   * How often each request was begun here from its start: over all servers, what may not be repeated must
   * stay at 1. A run that goes on from tokens or from a KV cache is not counted.
   */
  readonly runs: ReadonlyMap<string, number>;
}

interface RequestEntry {
  readonly attempt: number;
  readonly fence: number;
  /** The first token that was made here; those before came with the dispatch. */
  readonly firstToken: number;
  nextToken: number;
  /** Tokens computed again, as its start told. */
  startEvent: Extract<EngineEvent, { kind: "started" }> | undefined;
  endEvent: Extract<EngineEvent, { kind: "finished" }> | undefined;
  isCancelled: boolean;
  readonly subscribers: Set<Subscriber>;
}

/** Ended requests that are remembered, to answer who asks late; the oldest go first. */
const MAX_REQUESTS = 10_000;

/** Makes an empty table. */
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
    const engineEvents = events.flatMap((event) => engineEventOf(event, attempt));
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
    subscriber(pastEvents(entry, fromToken));
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
      // What came with the dispatch was never made here.
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
      if (existing !== undefined) return knowledgeOf(existing);
      if (bar) barred.add(id);
      return barred.has(id) ? EngineKnowledge.Barred : EngineKnowledge.Unknown;
    },
  };
}

function knowledgeOf({ isCancelled, endEvent }: RequestEntry): EngineKnowledge {
  if (isCancelled) return EngineKnowledge.Cancelled;
  return endEvent === undefined ? EngineKnowledge.Running : EngineKnowledge.Finished;
}

/** What a follower that joins late has missed. */
function pastEvents(entry: RequestEntry, fromToken: number): EngineEvent[] {
  const events: EngineEvent[] = entry.startEvent === undefined ? [] : [entry.startEvent];
  for (let index = fromToken; index < entry.nextToken; index++) events.push(tokenEvent(index));
  if (entry.endEvent !== undefined) events.push(entry.endEvent);
  return events;
}

function tokenEvent(index: number): EngineEvent {
  return { kind: "token", index, text: ` word${index}` };
}

function engineEventOf(event: RequestEvent, attempt: number): EngineEvent[] {
  switch (event.kind) {
    case "started": {
      const { computed, cached } = event;
      return [{ kind: "started", recomputed: attempt > 1 ? computed : 0, cached }];
    }
    case "token":
      return [tokenEvent(event.index)];
    case "finished":
      return [{ kind: "finished", reason: "stop" }];
    case "preempted":
      return [];
  }
}
