import type { Arrival, Scheduler } from "../decision/index.ts";
import { PREFIX_BLOCK_TOKENS } from "../request/index.ts";
import type { Revision } from "../version/index.ts";

/** Options of {@linkcode recordScheduler}. */
export interface RecorderOptions {
  /** Name of the entry instance, used as the name of the trace. */
  readonly name: string;
  /** Start time of the recording, in milliseconds of the clock. Times in the trace are relative to it. */
  readonly now: number;
  /** Returns the active configuration. Nothing is recorded before one is known. */
  readonly revision: () => Revision | undefined;
  /** Receives one line of the trace, including its line break. */
  readonly write: (line: string) => void;
}

/** State of an admitted request until the length of its answer is known. */
interface PendingRequest {
  readonly arrival: Arrival;
  readonly sharedBlocks: number;
  answerTokens: number;
}

/** Answer length in tokens recorded for a refused request without a limit, whose real length is unknown. */
const DEFAULT_ANSWER_TOKENS = 256;
/** Maximum number of prefix blocks kept to detect prompts with a common prefix. */
const MAX_PREFIX_BLOCKS = 50_000;
/** Typical rates of the platform, written to the trace because they can't be derived from the traffic. */
const PLATFORM_RATES = {
  weightStore: 2_000_000_000,
  transferRate: 1_250_000_000,
  bytesPerToken: 130_000,
};

/**
 * Wraps a scheduler so that it writes a trace for `samphireshore replay`: every admitted or refused request, reclaim
 * notices and preset changes.
 *
 * A request is written when it has ended, because the length of its answer is known only then. Changes to services are
 * not part of the trace: its header contains the deployment at the time of the first request.
 *
 * @example
 * ```ts
 * const recorded = recordScheduler(createScheduler(), { name, now: clock.now(), revision, write });
 * ```
 */
export function recordScheduler(scheduler: Scheduler, options: RecorderOptions): Scheduler {
  const pending = new Map<string, PendingRequest>();
  const seenBlocks = new Set<string>();
  const reclaimedWorkers = new Set<string>();
  let preset: string | undefined;
  const traceTime = (now: number): number => Math.max(0, Math.round(now - options.now));
  const write = (line: object): void => options.write(`${JSON.stringify(line)}\n`);

  const writeRevision = (now: number): void => {
    const revision = options.revision();
    if (revision === undefined || revision.preset === preset) return;
    write(
      preset === undefined
        ? formatHeader(options.name, revision)
        : { kind: "preset", t: traceTime(now), preset: revision.preset },
    );
    preset = revision.preset;
  };
  const writeArrival = ({ arrival, sharedBlocks, answerTokens }: PendingRequest): void => {
    if (preset !== undefined)
      write(
        formatArrival(arrival, { t: traceTime(arrival.arrivedAt), sharedBlocks, answerTokens }),
      );
  };
  const countShared = (blocks: readonly string[]): number => {
    const firstUnseen = blocks.findIndex((block) => !seenBlocks.has(block));
    for (const block of blocks) seenBlocks.add(block);
    for (const block of seenBlocks) {
      if (seenBlocks.size <= MAX_PREFIX_BLOCKS) break;
      seenBlocks.delete(block);
    }
    return firstUnseen < 0 ? blocks.length : firstUnseen;
  };
  return {
    ...scheduler,
    admit: (arrival, now) => {
      writeRevision(now);
      const admission = scheduler.admit(arrival, now);
      const sharedBlocks = countShared(arrival.prefix);
      const answerTokens = arrival.maxTokens ?? DEFAULT_ANSWER_TOKENS;
      const request = { arrival, sharedBlocks, answerTokens };
      if (admission.kind === "admitted") pending.set(arrival.id, { ...request, answerTokens: 0 });
      else writeArrival(request);
      return admission;
    },
    runEnded: (id, end, details) => {
      scheduler.runEnded(id, end, details);
      const known = pending.get(id);
      if (known !== undefined)
        known.answerTokens = Math.max(known.answerTokens, details.answerTokens);
    },
    jobEnded: (job, now) => {
      scheduler.jobEnded(job, now);
      const known = pending.get(job.id);
      if (known === undefined) return;
      pending.delete(job.id);
      writeArrival(known);
    },
    setWorkers: (workers, now) => {
      scheduler.setWorkers(workers, now);
      for (const { id, service, reclaimAt } of workers) {
        if (reclaimAt === undefined || reclaimedWorkers.has(id) || preset === undefined) continue;
        reclaimedWorkers.add(id);
        const index = workers.filter((other) => other.service === service && other.id < id).length;
        const within = Math.max(0, Math.round(reclaimAt - now));
        write({ kind: "reclaim", t: traceTime(now), within, service, index });
      }
    },
  };
}

function formatHeader(name: string, { source, preset }: Revision): object {
  const outcomes = { lost: 0, services: {} };
  return { kind: "header", name, seed: 1, preset, ...PLATFORM_RATES, deployment: source, outcomes };
}

function formatArrival(
  arrival: Arrival,
  { t, sharedBlocks, answerTokens }: { t: number; sharedBlocks: number; answerTokens: number },
): object {
  const { account, service, promptTokens, lane, maxTokens, repeatable, detached } = arrival;
  const [firstBlock = ""] = arrival.prefix;
  return {
    t,
    a: account,
    s: service,
    p: Math.max(1, Math.round(promptTokens)),
    n: Math.max(1, answerTokens),
    l: lane,
    r: repeatable,
    dl: Math.max(1, Math.round(arrival.deadlineAt - arrival.arrivedAt)),
    ...(sharedBlocks === 0 ? {} : { x: firstBlock, xt: sharedBlocks * PREFIX_BLOCK_TOKENS }),
    ...(maxTokens === undefined ? {} : { m: maxTokens }),
    ...(detached ? { d: true } : {}),
  };
}
