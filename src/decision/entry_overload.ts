/**
 * What an entry instance still takes when it can hardly keep up itself.
 *
 * Load that it answers: more callers than one small process can serve, or large bodies that fill its memory.
 * Everything in the process shares one event loop: when it lags, heartbeats and orders lag with the
 * requests, peers believe the instance dead, its slots move to others, and their load grows until they go
 * the same way. One would notice takeovers without a death, one after another, at the hour of most load.
 *
 * So work is turned away in steps, while control work always runs: first new scripts, which can be sent
 * again later, then all new requests. What was accepted goes on in every step.
 *
 * A lookup passes the loop about four times on its way to the first token (taken in, copied, dispatched,
 * answered): at 50 ms each it spends half of a 400 ms target on waiting for this process. At 200 ms a
 * heartbeat of one second with its indirect probes is near its time-out. Memory at eight tenths leaves
 * room for a burst of bodies between two looks; at nine tenths collecting garbage takes most of the time.
 * Each step is left at half of its delay or a tenth less memory, one step at a time, because turning work
 * away is what brought the readings down: without that the instance would open and shut every second.
 *
 * @module
 */

/** What an entry instance measures of itself. */
export interface EntryLoad {
  /** 99th percentile of the event loop's delay over the last second, in milliseconds. */
  readonly loopDelay: number;
  /** Bytes in use and allowed. */
  readonly memory: number;
  readonly memoryLimit: number;
  readonly inProgress: number;
}

/** What an entry instance still takes. */
export enum EntryStance {
  /** All. */
  Open = "open",
  /** Work that was accepted, and lookups; new scripts are turned away. */
  LookupsOnly = "lookups-only",
  /** Only control work and what was accepted. */
  ControlOnly = "control-only",
}

interface Threshold {
  readonly loopDelay: number;
  /** A part of the memory allowed. */
  readonly memory: number;
}

const LOOKUPS_ONLY: Threshold = { loopDelay: 50, memory: 0.8 };
const CONTROL_ONLY: Threshold = { loopDelay: 200, memory: 0.9 };
const EXIT_DELAY_FACTOR = 0.5;
const EXIT_MEMORY_STEP = 0.1;

/** Decides what an entry instance still takes, from its readings and what it took before. */
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
