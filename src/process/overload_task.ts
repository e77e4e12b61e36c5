import { chooseEntryMode, EntryMode } from "../decision/index.ts";
import type { EntryLoad } from "../decision/index.ts";
import type { Clock, Timer } from "../interface/index.ts";

/** Dependencies of {@linkcode createOverloadTask}. */
export interface OverloadTaskParts {
  readonly clock: Clock;
  /** Reads the instance's own load since the previous call. */
  readonly readLoad: () => EntryLoad;
  /** Called with each new mode, that is, with the kinds of requests that are still accepted. */
  readonly onModeChange: (mode: EntryMode) => void;
  readonly count: (name: string) => void;
}

/** A task that sheds load when the instance can't serve all of it. */
export interface OverloadTask {
  start(): void;
  close(): void;
}

/** Interval between two load samples, in milliseconds. Shorter than that of the heartbeats, which must not be late. */
const SAMPLE_INTERVAL = 500;

/** Creates the task. It does nothing until `start` is called. */
export function createOverloadTask(parts: OverloadTaskParts): OverloadTask {
  const { clock, readLoad, onModeChange, count } = parts;
  let mode = EntryMode.Open;
  let timer: Timer | undefined;
  const sample = (): void => {
    const next = chooseEntryMode(readLoad(), mode);
    if (next !== mode) {
      mode = next;
      count(`overload.${mode}`);
      onModeChange(mode);
    }
    timer = clock.after(SAMPLE_INTERVAL, sample);
  };
  return {
    start: () => {
      timer = clock.after(SAMPLE_INTERVAL, sample);
    },
    close: () => timer?.close(),
  };
}
