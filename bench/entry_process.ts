/**
 * Child process that runs one entry instance for the benchmark.
 *
 * @module
 */
import { startEntry, systemClock, systemRandom } from "../src/process/index.ts";
import type { EntrySettings } from "../src/process/index.ts";
import { childSettings, serveParent } from "./child.ts";

/** Ready value: sent to the benchmark when the instance accepts requests. */
export interface EntryReady {
  /** `IP:PORT` of the listener for callers. */
  readonly callers: string;
  /** `IP:PORT` of the listener for peers. */
  readonly peers: string;
  /** Milliseconds from the start of the instance's tasks until it is ready. */
  readonly startTime: number;
  /** Milliseconds from the start of the process, with loading of its modules, until it is ready. */
  readonly processTime: number;
}

const startedAt = performance.now();
const entry = await startEntry(childSettings() as EntrySettings, {
  clock: systemClock,
  random: systemRandom,
});
const ready: EntryReady = {
  callers: entry.self.callerAddress,
  peers: entry.self.address,
  startTime: performance.now() - startedAt,
  processTime: performance.now(),
};
serveParent(ready, () => entry.close());
