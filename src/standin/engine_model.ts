/**
 * A model of a batching inference engine with a KV cache, for tests and replays.
 *
 * The engine works in steps. Each step generates one token for every running sequence and computes
 * a limited number of prompt tokens of those that have just started. The time of a step grows with
 * the size of the batch and with the prompt tokens in it. If the answers outgrow the KV cache, the
 * sequence with the lowest priority is preempted and computed again later. The model has no timers:
 * its owner advances the time.
 *
 * @module
 */
import { BLOCK_TOKENS, createPrefixCache } from "./prefix_cache.ts";

/** Throughput and memory of an engine. The machine classes of a deployment have these fields. */
export interface EngineCapacity {
  /** Tokens per second that a full batch generates. */
  readonly tokensPerSecond: number;
  /** Prompt tokens that are computed per second. */
  readonly prefillPerSecond: number;
  /** Size of the KV cache in tokens, including the prefix cache. */
  readonly cacheTokens: number;
}

/** A request to the simulated engine. */
export interface EngineRequest {
  readonly id: string;
  readonly promptTokens: number;
  /** Tokens of the whole answer, including those that the caller already has. */
  readonly answerTokens: number;
  /**
   * Hashes of the leading blocks of the prompt. Each hash covers all blocks up to its own, of
   * `BLOCK_TOKENS` tokens each.
   */
  readonly prefix: readonly string[];
  /** Tokens of the answer that the caller already has. */
  readonly resumedTokens: number;
  /** Tokens of KV cache that are imported from another engine. */
  readonly importedTokens: number;
  /** Requests with a higher priority are started first. */
  readonly priority: number;
}

/** An event of the engine. `at` is the time in milliseconds. */
export type EngineModelEvent =
  | {
      readonly kind: "started";
      readonly at: number;
      readonly id: string;
      /** Prompt and resumed tokens that have to be computed. */
      readonly computed: number;
      /** Tokens that were imported or found in the prefix cache. */
      readonly cached: number;
    }
  | { readonly kind: "token"; readonly at: number; readonly id: string; readonly index: number }
  | { readonly kind: "finished"; readonly at: number; readonly id: string }
  /** The KV cache was full: the request returns to the queue and is computed again. */
  | { readonly kind: "preempted"; readonly at: number; readonly id: string }
  | {
      readonly kind: "stored" | "evicted";
      readonly at: number;
      readonly blocks: readonly string[];
    };

/** Load of an engine. */
export interface EngineLoad {
  /** Requests in the current batch. */
  readonly running: number;
  /** Requests that wait to be started. */
  readonly waiting: number;
  readonly cacheTokens: number;
  readonly cacheCapacity: number;
}

/**
 * A simulated engine without timers. Its owner advances the time.
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
   * Adds a request to the queue.
   *
   * @returns False if the request exceeds the whole KV cache.
   */
  submit(request: EngineRequest, now: number): boolean;
  /** Cancels a request. An unknown id is ignored. */
  cancel(id: string, now: number): void;
  /** Advances the engine to a time in milliseconds. Returns the events until then, in order. */
  advanceTo(now: number): EngineModelEvent[];
  /** Returns the time at which the current step ends, or undefined if nothing is in progress. */
  nextEventAt(): number | undefined;
  /**
   * Returns the tokens of KV cache that an export of the request would hold now, or undefined if
   * the request isn't running.
   */
  exportableTokens(id: string): number | undefined;
  /** Multiplies the duration of all later steps by a factor. */
  setSlowdown(slowdown: number): void;
  /** Returns the current load. */
  load(): EngineLoad;
}

/**
 * Duration of the step of a full batch in milliseconds. A faster machine class has a larger batch.
 * Engines are configured for their latency target: the step of a full batch and a chunk of a prompt
 * together stay below 44 ms.
 */
const FULL_BATCH_STEP_TIME = 32;
/**
 * Share of a full batch's step that every step takes regardless of its size, to read the weights.
 */
const BASE_STEP_SHARE = 0.6;
/**
 * Maximum time in milliseconds that prompt tokens add to a step while answers are being generated.
 */
const MAX_PREFILL_TIME = 12;
/** Number of prompt chunks that a step computes while no answer is being generated. */
const IDLE_CHUNKS = 8;

interface Sequence {
  readonly request: EngineRequest;
  readonly submitOrder: number;
  /** Tokens of the answer so far, including those that the caller already had. */
  produced: number;
  /** Prompt tokens and earlier answer tokens to compute before the next token. */
  tokensToCompute: number;
  /** Tokens of KV cache in use; while the sequence waits, the tokens that are imported. */
  cacheTokens: number;
}

interface Step {
  readonly endsAt: number;
  /** Sequences that get one token in this step. */
  readonly decoding: readonly Sequence[];
  /** Prompt tokens that this step computes, by sequence. */
  readonly chunks: readonly { readonly sequence: Sequence; readonly tokens: number }[];
}

/** Returns the number of sequences in a full batch of a machine class. */
export function fullBatchSize({ tokensPerSecond }: EngineCapacity): number {
  return Math.max(1, Math.round((tokensPerSecond * FULL_BATCH_STEP_TIME) / 1_000));
}

/** Creates an idle engine. */
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
    // The last token is always computed, because its output is the next token.
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

/**
 * Returns whether a sequence has a higher priority, or the same priority and was submitted earlier.
 */
function precedes(a: Sequence, b: Sequence): boolean {
  if (a.request.priority !== b.request.priority) return a.request.priority > b.request.priority;
  return a.submitOrder < b.submitOrder;
}

/** Divides a step's budget of prompt tokens among the sequences, by priority and then by age. */
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
