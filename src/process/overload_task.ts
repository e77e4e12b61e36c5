import { entryStance, EntryStance } from "../decision/index.ts";
import type { EntryLoad } from "../decision/index.ts";
import type { Clock, Timer } from "../interface/index.ts";

/** What the task is made with. */
export interface OverloadTaskParts {
  readonly clock: Clock;
  /** Reads the instance's own load since the last reading. */
  readonly readLoad: () => EntryLoad;
  /** Told of each change of what is still taken. */
  readonly onStance: (stance: EntryStance) => void;
  readonly count: (name: string) => void;
}

/** The task that protects the instance from more work than it can serve. */
export interface OverloadTask {
  start(): void;
  close(): void;
}

/** Milliseconds between two readings: several a second of the heartbeats that must not be late. */
const PERIOD = 500;

/** Makes the task; it does nothing before it is started. */
export function createOverloadTask(parts: OverloadTaskParts): OverloadTask {
  const { clock, readLoad, onStance, count } = parts;
  let stance = EntryStance.Open;
  let timer: Timer | undefined;
  const look = (): void => {
    const next = entryStance(readLoad(), stance);
    if (next !== stance) {
      stance = next;
      count(`overload.${stance}`);
      onStance(stance);
    }
    timer = clock.after(PERIOD, look);
  };
  return {
    start: () => {
      timer = clock.after(PERIOD, look);
    },
    close: () => timer?.close(),
  };
}
