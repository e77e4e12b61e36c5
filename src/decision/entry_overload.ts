/**
 * Decides which requests an entry instance accepts when it is itself overloaded.
 *
 * Load: more callers than one small process can serve, or large bodies that fill its memory.
 * Everything in the process shares one event loop: when it lags, heartbeats and peer messages lag
 * with the requests, peers consider the instance dead, and its slots move to other instances, whose
 * load then grows until they fail in the same way. Symptom: takeovers of live instances, one after
 * another, at the time of peak load.
 *
 * Mechanism: work is refused in steps, while control work always runs: first new scripts, which can
 * be sent again later, then all new requests. Accepted work continues in every step.
 *
 * Thresholds: a lookup passes through the event loop about four times before its first token
 * (acceptance, copy, dispatch, answer); at 50 ms each it spends half of a 400 ms target waiting for
 * this process. At 200 ms a heartbeat of one second with its indirect probes is close to its
 * timeout. Memory use of 80 in 100 leaves room for a burst of bodies between two readings; at 90 in
 * 100 garbage collection takes most of the time. The process leaves a step at half of its delay
 * threshold or at memory use 10 in 100 lower, one step at a time: refusing work is what lowered the
 * readings, and without hysteresis the instance would switch every second.
 *
 * @module
 */

/** The load that an entry instance measures of itself. */
export interface EntryLoad {
  /** 99th percentile of the event loop's delay over the last second, in milliseconds. */
  readonly loopDelay: number;
  /** Bytes in use. */
  readonly memory: number;
  /** Bytes that may be used. */
  readonly memoryLimit: number;
  /** Requests in progress. */
  readonly inProgress: number;
}

/** Which requests an entry instance accepts. */
export enum EntryStance {
  /** All requests. */
  Open = "open",
  /** Lookups and work that was already accepted; new scripts are refused. */
  LookupsOnly = "lookups-only",
  /** Only control work and work that was already accepted. */
  ControlOnly = "control-only",
}

interface Threshold {
  /** Milliseconds. */
  readonly loopDelay: number;
  /** A fraction of the memory limit. */
  readonly memory: number;
}

const LOOKUPS_ONLY: Threshold = { loopDelay: 50, memory: 0.8 };
const CONTROL_ONLY: Threshold = { loopDelay: 200, memory: 0.9 };
/** The delay threshold for leaving a mode is this fraction of the one for entering it. */
const EXIT_DELAY_FACTOR = 0.5;
/** The memory threshold for leaving a mode is lower by this fraction of the memory limit. */
const EXIT_MEMORY_STEP = 0.1;

/** Chooses the mode from the current readings and the previous mode. */
export function entryStance(load: EntryLoad, before: EntryStance): EntryStance {
  if (exceeds(load, CONTROL_ONLY)) return EntryStance.ControlOnly;
  if (before === EntryStance.ControlOnly && exceeds(load, exitThreshold(CONTROL_ONLY)))
    return before;
  if (before === EntryStance.ControlOnly) return EntryStance.LookupsOnly;
  if (exceeds(load, LOOKUPS_ONLY)) return EntryStance.LookupsOnly;
  const stays = before === EntryStance.LookupsOnly && exceeds(load, exitThreshold(LOOKUPS_ONLY));
  return stays ? before : EntryStance.Open;
}

function exceeds(load: EntryLoad, { loopDelay, memory }: Threshold): boolean {
  return load.loopDelay > loopDelay || load.memory > memory * load.memoryLimit;
}

function exitThreshold({ loopDelay, memory }: Threshold): Threshold {
  return { loopDelay: loopDelay * EXIT_DELAY_FACTOR, memory: memory - EXIT_MEMORY_STEP };
}
