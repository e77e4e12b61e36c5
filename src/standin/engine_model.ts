import { BLOCK_TOKENS, createPrefixCache } from "./prefix_cache.ts";

/** What a machine class makes of an engine; the deployment's machine classes have these fields. */
export interface EngineCapacity {
  /** Tokens generated a second by a full batch. */
  readonly tokensPerSecond: number;
  /** Prompt tokens computed a second. */
  readonly prefillPerSecond: number;
  /** Tokens of KV cache, prefix cache included. */
  readonly cacheTokens: number;
}

/** A request as the engine model sees it. */
export interface EngineRequest {
  readonly id: string;
  readonly promptTokens: number;
  /** Tokens of the whole answer, those that the caller has already included. */
  readonly answerTokens: number;
  /** Hashes of the prompt's leading blocks of `BLOCK_TOKENS` tokens, each over all up to it. */
  readonly prefix: readonly string[];
  /** Tokens of the answer that the caller has already. */
  readonly resumedTokens: number;
  /** Tokens of KV cache that are imported. */
  readonly importedTokens: number;
  /** Higher goes first. */
  readonly priority: number;
}

/** What happens in an engine, with the time in milliseconds. */
export type EngineModelEvent =
  | {
      readonly kind: "started";
      readonly at: number;
      readonly id: string;
      /** Prompt and resumed tokens that are computed now. */
      readonly computed: number;
      /** Those that were imported or in the prefix cache. */
      readonly cached: number;
    }
  | { readonly kind: "token"; readonly at: number; readonly id: string; readonly index: number }
  | { readonly kind: "finished"; readonly at: number; readonly id: string }
  /** The KV cache ran full: the request waits and is computed anew. */
  | { readonly kind: "preempted"; readonly at: number; readonly id: string }
  | {
      readonly kind: "stored" | "evicted";
      readonly at: number;
      readonly blocks: readonly string[];
    };

/** How busy an engine is. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly cacheTokens: number;
  readonly cacheCapacity: number;
}

/**
 * A model engine without timers: whoever owns it moves it on.
 *
 * @example
 * ```ts
 * const engine = createEngineModel({ tokensPerSecond: 900, prefillPerSecond: 8_000, cacheTokens: 120_000 });
 * engine.submit(request, 0);
 * for (let at = engine.nextEventAt(); at !== undefined; at = engine.nextEventAt()) {
 *   for (const event of engine.advanceTo(at)) console.log(event);
 * }
 * ```
 */
export interface EngineModel {
  /**
   * Takes a request in.
   *
   * @returns False where the request can never fit the KV cache.
   */
  submit(request: EngineRequest, now: number): boolean;
  /** Ends a request; one that isn't there is ignored. */
  cancel(id: string, now: number): void;
  /** Moves the engine on, with all that happens until then in order. */
  advanceTo(now: number): EngineModelEvent[];
  /** When the next step ends, or undefined where nothing is in progress. */
  nextEventAt(): number | undefined;
  /** Tokens of KV cache that an export of the request holds now; undefined where it isn't running. */
  exportableTokens(id: string): number | undefined;
  /** Makes every later step take this many times as long. */
  setSlowdown(slowdown: number): void;
  load(): EngineLoad;
}

/**
 * Milliseconds that a step of a full batch takes; a faster machine class has a larger batch. An engine is
 * set up for its latency target: a full batch's step and a chunk of a prompt together stay under 44 ms.
 */
const FULL_BATCH_STEP_TIME = 32;
/** Part of a full batch's step that a step takes whatever its size: reading the weights. */
const BASE_STEP_SHARE = 0.6;
/** Milliseconds by which computing prompts may lengthen a step while answers are being generated. */
const MAX_PREFILL_TIME = 12;
/** How many such chunks a step computes while no answer is being generated. */
const IDLE_CHUNKS = 8;

interface Sequence {
  readonly request: EngineRequest;
  readonly submitOrder: number;
  /** Tokens of the answer so far. */
  produced: number;
  /** Prompt and earlier tokens still to compute before the next token. */
  tokensToCompute: number;
  /** Tokens of KV cache in use. */
  cacheTokens: number;
}

interface Step {
  readonly endsAt: number;
  readonly decoding: readonly Sequence[];
  readonly chunks: readonly { readonly sequence: Sequence; readonly tokens: number }[];
}

/** How many sequences a machine class generates for at once. */
export function fullBatchSize({ tokensPerSecond }: EngineCapacity): number {
  return Math.max(1, Math.round((tokensPerSecond * FULL_BATCH_STEP_TIME) / 1_000));
}

/** Makes an idle engine. */
export function createEngineModel(capacity: EngineCapacity): EngineModel {
  const fullBatch = fullBatchSize(capacity);
  const fullStepTime = (fullBatch * 1_000) / capacity.tokensPerSecond;
  const baseStepTime = BASE_STEP_SHARE * fullStepTime;
  const timePerSequence = (fullStepTime - baseStepTime) / fullBatch;
  const chunkTokens = Math.max(
    1,
    Math.round((MAX_PREFILL_TIME * capacity.prefillPerSecond) / 1_000),
  );
  const prefixCache = createPrefixCache();
  const running = new Map<string, Sequence>();
  const waiting: Sequence[] = [];
  let events: EngineModelEvent[] = [];
  let step: Step | undefined;
  let nextSubmitOrder = 0;
  let slowdown = 1;
  let usedCacheTokens = 0;

  const enqueue = (sequence: Sequence): void => {
    const nextIndex = waiting.findIndex((other) => precedes(sequence, other));
    waiting.splice(nextIndex < 0 ? waiting.length : nextIndex, 0, sequence);
  };
  const evictPrefixBlocks = (at: number): void => {
    const freeBlocks = Math.max(
      0,
      Math.floor((capacity.cacheTokens - usedCacheTokens) / BLOCK_TOKENS),
    );
    const blocks = prefixCache.evictTo(freeBlocks);
    if (blocks.length > 0) events.push({ kind: "evicted", at, blocks });
  };
  const startSequence = (sequence: Sequence, at: number): void => {
    const { request } = sequence;
    const needed = request.promptTokens + sequence.produced;
    const cachedPrefix = prefixCache.matchPrefix(request.prefix) * BLOCK_TOKENS;
    // The last token is always computed: its output is the next one.
    const cached = Math.min(needed - 1, Math.max(cachedPrefix, sequence.cacheTokens));
    sequence.tokensToCompute = needed - cached;
    sequence.cacheTokens = needed;
    usedCacheTokens += needed;
    running.set(request.id, sequence);
    evictPrefixBlocks(at);
    events.push({
      kind: "started",
      at,
      id: request.id,
      computed: sequence.tokensToCompute,
      cached,
    });
  };
  const admitWaiting = (at: number): void => {
    while (running.size < fullBatch) {
      const [first] = waiting;
      if (first === undefined) return;
      const needed = first.request.promptTokens + first.produced + 1;
      if (running.size > 0 && usedCacheTokens + needed + running.size > capacity.cacheTokens)
        return;
      waiting.shift();
      startSequence(first, at);
    }
  };
  const planStep = (at: number): void => {
    admitWaiting(at);
    if (running.size === 0) {
      step = undefined;
      return;
    }
    const sequences = [...running.values()];
    const decoding = sequences.filter((sequence) => sequence.tokensToCompute === 0);
    const maxTokens = decoding.length > 0 ? chunkTokens : IDLE_CHUNKS * chunkTokens;
    const chunks = planChunks(sequences, maxTokens);
    const computed = chunks.reduce((sum, chunk) => sum + chunk.tokens, 0);
    const prefillTime = (computed * 1_000) / capacity.prefillPerSecond;
    const time = baseStepTime + timePerSequence * decoding.length + prefillTime;
    step = { endsAt: at + slowdown * time, decoding, chunks };
  };
  const produce = (sequence: Sequence, at: number): void => {
    const { id, answerTokens } = sequence.request;
    events.push({ kind: "token", at, id, index: sequence.produced });
    sequence.produced++;
    sequence.cacheTokens++;
    usedCacheTokens++;
    if (sequence.produced < answerTokens) return;
    release(sequence);
    events.push({ kind: "finished", at, id });
  };
  const release = (sequence: Sequence): void => {
    running.delete(sequence.request.id);
    usedCacheTokens -= sequence.cacheTokens;
  };
  const preemptSequences = (at: number): void => {
    while (usedCacheTokens > capacity.cacheTokens && running.size > 1) {
      const last = [...running.values()].reduce((a, b) => (precedes(a, b) ? b : a));
      release(last);
      last.cacheTokens = 0;
      enqueue(last);
      events.push({ kind: "preempted", at, id: last.request.id });
    }
  };
  const endStep = ({ endsAt, decoding, chunks }: Step): void => {
    for (const sequence of decoding) {
      if (running.get(sequence.request.id) === sequence) produce(sequence, endsAt);
    }
    for (const { sequence, tokens } of chunks) {
      if (running.get(sequence.request.id) !== sequence) continue;
      sequence.tokensToCompute -= tokens;
      if (sequence.tokensToCompute > 0) continue;
      const blocks = prefixCache.store(sequence.request.prefix);
      if (blocks.length > 0) events.push({ kind: "stored", at: endsAt, blocks });
      produce(sequence, endsAt);
    }
    preemptSequences(endsAt);
    evictPrefixBlocks(endsAt);
    planStep(endsAt);
  };
  const advance = (now: number): void => {
    while (step !== undefined && step.endsAt <= now) endStep(step);
  };

  return {
    submit: (request, now) => {
      advance(now);
      if (request.promptTokens + request.answerTokens > capacity.cacheTokens) return false;
      const { resumedTokens: produced, importedTokens } = request;
      enqueue({
        request,
        submitOrder: nextSubmitOrder++,
        produced,
        tokensToCompute: 0,
        cacheTokens: importedTokens,
      });
      if (step === undefined) planStep(now);
      return true;
    },
    cancel: (id, now) => {
      advance(now);
      const index = waiting.findIndex((sequence) => sequence.request.id === id);
      if (index >= 0) waiting.splice(index, 1);
      const sequence = running.get(id);
      if (sequence !== undefined) release(sequence);
    },
    advanceTo: (now) => {
      advance(now);
      const collected = events;
      events = [];
      return collected;
    },
    nextEventAt: () => step?.endsAt,
    exportableTokens: (id) => {
      const sequence = running.get(id);
      return sequence === undefined ? undefined : sequence.cacheTokens - sequence.tokensToCompute;
    },
    setSlowdown: (factor) => {
      slowdown = factor;
    },
    load: () => ({
      running: running.size,
      waiting: waiting.length,
      cacheTokens: usedCacheTokens,
      cacheCapacity: capacity.cacheTokens,
    }),
  };
}

function precedes(a: Sequence, b: Sequence): boolean {
  if (a.request.priority !== b.request.priority) return a.request.priority > b.request.priority;
  return a.submitOrder < b.submitOrder;
}

/** Shares a step's budget of prompt tokens out, the highest priority and the oldest first. */
function planChunks(sequences: readonly Sequence[], budget: number): Step["chunks"] {
  const computing = sequences.filter((sequence) => sequence.tokensToCompute > 0);
  computing.sort((a, b) => (precedes(a, b) ? -1 : 1));
  const chunks: { sequence: Sequence; tokens: number }[] = [];
  let remaining = budget;
  for (const sequence of computing) {
    if (remaining <= 0) break;
    const tokens = Math.min(remaining, sequence.tokensToCompute);
    chunks.push({ sequence, tokens });
    remaining -= tokens;
  }
  return chunks;
}
