/**
 * Which worker a routed request goes to.
 *
 * Load that it answers: long prompts among short questions, sessions that share long prompt parts, and many
 * entry instances that choose at the same moment. By least outstanding alone a prompt of 12,000 tokens counts
 * as one question of 600, and a session's roster is read again at every worker that it meets; by the prefix
 * alone one popular session fills one worker while the others idle. One would notice first tokens that are
 * late on some workers only, or prompt tokens read many times over.
 *
 * Every reason is put in milliseconds that the request, or those that run beside it, would lose:
 *
 * - prompt tokens that are read before its own first token, its own and those that wait there, at the
 *   engine's speed of reading;
 * - runs beside which its tokens are made: each makes every token of the others a little later;
 * - runs over the engine's slots: the request waits for one of them to end;
 * - the chance that the worker fails it, times what a failed try costs;
 * - the way to another availability zone.
 *
 * A session's home is found by rendezvous hashing over the workers that are there, so that all instances
 * find the same one without a word between them, and a worker that goes moves only its own sessions. The
 * second in that order is half a home: where the first is busy it is the one that most probably has the parts
 * already, so a session that gets much of the traffic spreads over two workers before it spreads further.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";
import { hashText, mixHashes } from "../version/index.ts";

/** One part of a prompt, in order; requests that begin with the same parts share them. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A worker as the ranking sees it. */
export interface RankedWorker {
  readonly id: string;
  /** Hash of the id. */
  readonly hash: number;
  /** Requests that all instances have there. */
  readonly running: number;
  /** Prompt tokens there that no first token has come of yet. */
  readonly unreadTokens: number;
  readonly slots: number;
  /** The chance that it fails a run beyond what is usual, from 0 to 1. */
  readonly failing: number;
  readonly sameZone: boolean;
  /** Milliseconds for which it is still slow after its start. */
  readonly coldFor: number;
}

/** What the ranking knows of the request. */
export interface RankedRequest {
  /** All parts of its prompt; empty where nothing is known of it. */
  readonly parts: readonly PromptPart[];
}

/** What is known of a service's workers in general. */
export interface ServiceSpeed {
  /** Prompt tokens read a millisecond; undefined for services without engines. */
  readonly readRate: number | undefined;
  /** Milliseconds that a run occupies a slot. */
  readonly runTime: number;
}

/** Milliseconds that one more run beside it costs a run: a tenth of a millisecond a step, some tens of steps. */
const BESIDE = 4;
/** A failed try costs the time until it is noticed and another try, or the request itself. */
const FAILED_TRY = 3_000;
/** There and back between availability zones; it also decides between equals, and its bytes are paid for. */
const ZONE_DISTANCE = 3;
/** Sending to a worker that is still warming up costs about as much of what is left. */
const COLD_PART = 0.1;
/** The chance that a session's first and second home have its shared parts. */
const HOME_CHANCES = [1, 0.5] as const;

/** Equals are drawn from: otherwise all instances would take the first in the list. */
const JITTER = 2;
/** Hashes have 32 bits. */
const HASHES = 2 ** 32;

/** Workers with what each would cost the request in milliseconds, the cheapest first. */
export interface Ranking<W extends RankedWorker> {
  readonly worker: W;
  readonly cost: number;
  /** How long the first token is expected to take. */
  readonly wait: number;
  /** Prompt tokens that it would have to read. */
  readonly reads: number;
}

/** The workers at which the shared parts of a prompt are kept, with the chance that they are. */
export type PromptHomes<W> = ReadonlyMap<W, number>;

/**
 * Ranks the workers of a service for one request.
 *
 * @param options `homes` are those of the request's prompt among all workers, where these are only some of them.
 */
export function rankWorkers<W extends RankedWorker>(
  workers: readonly W[],
  options: {
    request: RankedRequest;
    speed: ServiceSpeed;
    random: Random;
    homes?: PromptHomes<W>;
  },
): Ranking<W>[] {
  const { request, speed, random, homes = homesOf(workers, request.parts) } = options;
  const all = sum(request.parts);
  const shared = all - (request.parts.at(-1)?.tokens ?? 0);
  // One number drawn for all: each worker's own comes of it and of the worker's hash.
  const draw = Math.floor(random.next() * HASHES);
  const rankings: Ranking<W>[] = [];
  for (const worker of workers) {
    const reads = all - shared * (homes.get(worker) ?? 0);
    const wait = waitAt(worker, { unread: reads, speed });
    const cost =
      wait +
      worker.running * BESIDE +
      worker.failing * FAILED_TRY +
      worker.coldFor * COLD_PART +
      (mixHashes(worker.hash, draw) / HASHES) * JITTER +
      (worker.sameZone ? 0 : ZONE_DISTANCE);
    rankings.push({ worker, cost, wait, reads });
  }
  return rankings.sort((a, b) => a.cost - b.cost);
}

/** Finds the homes of a prompt. */
export function homesOf<W extends { readonly hash: number }>(
  workers: readonly W[],
  parts: readonly PromptPart[],
): PromptHomes<W> {
  if (parts.length < 2) return new Map();
  // The last part is the request's own: what it shares is all before it.
  const shared = parts.slice(0, -1).map(({ id }) => id);
  const key = hashText(shared.join(","));
  return new Map(
    highest(workers, {
      count: HOME_CHANCES.length,
      scoreOf: ({ hash }) => mixHashes(hash, key),
    }).map((worker, place) => [worker, HOME_CHANCES[place] ?? 0]),
  );
}

/** The few with the highest scores, the highest first: cheaper than to sort them all for each request. */
function highest<W>(
  workers: readonly W[],
  { count, scoreOf }: { count: number; scoreOf: (worker: W) => number },
): W[] {
  const found: { worker: W; score: number }[] = [];
  for (const worker of workers) {
    const score = scoreOf(worker);
    const place = found.findIndex((other) => score > other.score);
    if (place < 0 && found.length >= count) continue;
    found.splice(place < 0 ? found.length : place, 0, { worker, score });
    if (found.length > count) found.pop();
  }
  return found.map(({ worker }) => worker);
}

function waitAt(
  { running, slots, unreadTokens }: RankedWorker,
  { unread, speed }: { unread: number; speed: ServiceSpeed },
): number {
  const reading = speed.readRate === undefined ? 0 : (unreadTokens + unread) / speed.readRate;
  const over = running + 1 - slots;
  const queued = over > 0 ? (over * speed.runTime) / slots : 0;
  return reading + queued;
}

function sum(parts: readonly PromptPart[]): number {
  return parts.reduce((total, { tokens }) => total + tokens, 0);
}
