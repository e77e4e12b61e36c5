/**
 * One entry instance of the bench, as a process of its own.
 *
 * @module
 */
import { startEntry, systemClock, systemRandom } from "../src/process/index.ts";
import type { EntrySettings } from "../src/process/index.ts";
import { childSettings, serveParent } from "./child.ts";

/** What the bench is told once the instance takes requests. */
export interface EntryReady {
  /** `IP:PORT` of the listeners for callers and for peers. */
  readonly callers: string;
  readonly peers: string;
  /** Milliseconds from the start of its tasks, and of its process with its modules, to ready. */
  readonly startTime: number;
  readonly processTime: number;
}

const begun = performance.now();
const entry = await startEntry(childSettings() as EntrySettings, {
  clock: systemClock,
  random: systemRandom,
});
const ready: EntryReady = {
  callers: entry.self.callerAddress,
  peers: entry.self.address,
  startTime: performance.now() - begun,
  processTime: performance.now(),
};
serveParent(ready, () => entry.close());
