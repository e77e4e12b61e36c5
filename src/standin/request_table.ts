import { CANCELLED_RUN, EngineKnowledge } from "../interface/index.ts";
import type { Dispatch, EngineEvent } from "../interface/index.ts";
import { engineRequestOf } from "./engine_prompt.ts";
import type { RequestEvent, TokenSource } from "./token_source.ts";

/** Somebody who is told a request's events. */
export type Follower = (events: readonly EngineEvent[]) => void;

/** Why a backend server doesn't run a request. */
export type RunRefusal = "barred" | "bad body" | "too large" | "old attempt" | "old fencing number";

/** The requests that a backend server stand-in has heard of. */
export interface RequestTable {
  /**
   * Runs a request, or joins it where it runs already.
   *
   * @returns The refusal, or undefined where the follower will be told the rest.
   */
  run(dispatch: Dispatch, follower: Follower): RunRefusal | undefined;
  /** Joins a request from a token on; false where none has the id. */
  attach(id: string, fromToken: number, follower: Follower): boolean;
  /** Stops telling a follower; the request goes on. */
  leave(id: string, follower: Follower): void;
  cancel(id: string): void;
  ask(id: string, bar: boolean): EngineKnowledge;
  /**
   * How often each request was begun here from its start: over all servers, what may not be repeated must
   * stay at 1. A run that goes on from tokens or from a KV cache is not counted.
   */
  readonly runs: ReadonlyMap<string, number>;
}

interface Entry {
  readonly attempt: number;
  readonly fence: number;
  /** The first token that was made here; those before came with the dispatch. */
  readonly firstToken: number;
  produced: number;
  /** Tokens computed again, as its start told. */
  started: Extract<EngineEvent, { kind: "started" }> | undefined;
  end: Extract<EngineEvent, { kind: "finished" }> | undefined;
  cancelled: boolean;
  readonly followers: Set<Follower>;
}

/** Ended requests that are remembered, to answer who asks late; the oldest go first. */
const MOST_ENDED = 10_000;

/** Makes an empty table. */
export function createRequestTable(
  source: TokenSource,
  { checksFence }: { checksFence: boolean },
): RequestTable {
  const entries = new Map<string, Entry>();
  const barred = new Set<string>();
  const runs = new Map<string, number>();

  const forgetOldest = (): void => {
    for (const [id, entry] of entries) {
      if (entries.size <= MOST_ENDED) return;
      if (entry.end !== undefined || entry.cancelled) entries.delete(id);
    }
  };
  const happen = (entry: Entry, events: readonly RequestEvent[], attempt: number): void => {
    const told = events.flatMap((event) => engineEventOf(event, attempt));
    for (const event of told) {
      if (event.kind === "started") entry.started = event;
      if (event.kind === "token") entry.produced = event.index + 1;
      if (event.kind === "finished") entry.end = event;
    }
    for (const follower of entry.followers) follower(told);
  };
  const begin = (dispatch: Dispatch, follower: Follower): RunRefusal | undefined => {
    const { id, attempt, tokens } = dispatch;
    const request = engineRequestOf(dispatch);
    if (request === undefined) return "bad body";
    const entry: Entry = {
      attempt,
      fence: dispatch.fence ?? 0,
      firstToken: tokens.length,
      produced: tokens.length,
      started: undefined,
      end: undefined,
      cancelled: false,
      followers: new Set([follower]),
    };
    entries.delete(id);
    entries.set(id, entry);
    forgetOldest();
    const goesOn = tokens.length > 0 || dispatch.cache !== undefined;
    if (!goesOn) runs.set(id, (runs.get(id) ?? 0) + 1);
    const taken = source.start(request, (events) => happen(entry, events, attempt));
    if (taken) return undefined;
    entries.delete(id);
    return "too large";
  };
  const join = (entry: Entry, fromToken: number, follower: Follower): void => {
    follower(soFar(entry, fromToken));
    if (entry.end === undefined) entry.followers.add(follower);
  };
  return {
    runs,
    run: (dispatch, follower) => {
      const { id, attempt, fence } = dispatch;
      if (barred.has(id)) return "barred";
      const known = entries.get(id);
      if (known === undefined) return begin(dispatch, follower);
      if (checksFence && (fence ?? 0) < known.fence) return "old fencing number";
      if (attempt < known.attempt) return "old attempt";
      if (!known.cancelled) {
        join(known, dispatch.tokens.length, follower);
        return undefined;
      }
      return attempt === known.attempt ? "old attempt" : begin(dispatch, follower);
    },
    attach: (id, fromToken, follower) => {
      const known = entries.get(id);
      if (known === undefined || known.cancelled) return false;
      // What came with the dispatch was never made here.
      if (fromToken < known.firstToken) return false;
      join(known, fromToken, follower);
      return true;
    },
    leave: (id, follower) => {
      entries.get(id)?.followers.delete(follower);
    },
    cancel: (id) => {
      const known = entries.get(id);
      if (known === undefined || known.end !== undefined) return;
      known.cancelled = true;
      source.cancel(id);
      for (const follower of known.followers)
        follower([{ kind: "finished", reason: CANCELLED_RUN }]);
      known.followers.clear();
    },
    ask: (id, bar) => {
      const known = entries.get(id);
      if (known !== undefined) return knowledgeOf(known);
      if (bar) barred.add(id);
      return barred.has(id) ? EngineKnowledge.Barred : EngineKnowledge.Unknown;
    },
  };
}

function knowledgeOf({ cancelled, end }: Entry): EngineKnowledge {
  if (cancelled) return EngineKnowledge.Cancelled;
  return end === undefined ? EngineKnowledge.Running : EngineKnowledge.Finished;
}

/** What a follower that joins late has missed. */
function soFar(entry: Entry, fromToken: number): EngineEvent[] {
  const events: EngineEvent[] = entry.started === undefined ? [] : [entry.started];
  for (let index = fromToken; index < entry.produced; index++) events.push(tokenEvent(index));
  if (entry.end !== undefined) events.push(entry.end);
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
