/**
 * Guard process of the soak test: kills the processes that the test has started once the test process has ended.
 *
 * A test process that is killed leaves its instances and backend servers running, which would disturb later runs. The
 * guard notices the end by the closed IPC channel.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/** Reports that the test has started a process, or that the process has ended. */
export interface GuardMessage {
  readonly pid: number;
  readonly isStarted: boolean;
}

/** Start time of each process, by its id. The operating system reuses ids, so an id alone does not identify it. */
const startTimes = new Map<number, string>();
/** Index of the start time among the fields of `/proc/PID/stat` after the command name. */
const START_TIME_FIELD = 19;

function readStartTime(pid: number): string | undefined {
  try {
    return readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ")[START_TIME_FIELD];
  } catch {
    // The process has ended.
    return undefined;
  }
}

process.on("message", ({ pid, isStarted }: GuardMessage) => {
  const start = readStartTime(pid);
  if (isStarted && start !== undefined) startTimes.set(pid, start);
  else startTimes.delete(pid);
});
process.on("disconnect", () => {
  for (const [pid, start] of startTimes)
    if (readStartTime(pid) === start) process.kill(pid, "SIGKILL");
  process.exit(0);
});
// A terminal sends its signals to all processes of the test; the guard has to outlive the others.
process.on("SIGINT", () => undefined);
process.on("SIGTERM", () => undefined);
