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

const LOOP_DELAY_LIMIT = 200;
const MEMORY_SHARE = 0.9;

/** Decides what an entry instance still takes. */
export function entryStance(load: EntryLoad, before: EntryStance): EntryStance {
  const limit = before === EntryStance.Open ? LOOP_DELAY_LIMIT : LOOP_DELAY_LIMIT / 2;
  const full = load.memory > MEMORY_SHARE * load.memoryLimit;
  return full || load.loopDelay > limit ? EntryStance.ControlOnly : EntryStance.Open;
}
