/**
 * Ends what a soak has started when the soak itself has ended, however that was.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/** A process that the soak has started, or that has ended. */
export interface GuardMessage {
  readonly pid: number;
  readonly isStarted: boolean;
}

/** By number, when the process was started: a number is given to another process later. */
const started = new Map<number, string>();
/** The place of the start's time in `/proc/PID/stat`, after the name. */
const START_FIELD = 19;

function startOf(pid: number): string | undefined {
  try {
    return readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ")[START_FIELD];
  } catch {
    // It has ended.
    return undefined;
  }
}

process.on("message", ({ pid, isStarted }: GuardMessage) => {
  const start = startOf(pid);
  if (isStarted && start !== undefined) started.set(pid, start);
  else started.delete(pid);
});
process.on("disconnect", () => {
  for (const [pid, start] of started) if (startOf(pid) === start) process.kill(pid, "SIGKILL");
  process.exit(0);
});
// A terminal sends its signals to all processes of the soak; this one has to be the last.
process.on("SIGINT", () => undefined);
process.on("SIGTERM", () => undefined);
