/**
 * Starts and tracks the operating-system processes of a soak test.
 *
 * @module
 */
import { fork, spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { createInterface } from "node:readline";
import { WorkerBehavior } from "../../platform/testing/worker_standin.ts";
import type { GuardMessage } from "./guard.ts";
import type { ObservedRejection, ObservedRun } from "./observation.ts";
import type { WorkerMessage, WorkerCommand, WorkerProcessSettings } from "./worker_process.ts";

/** Processes of one soak test. All of them are ended with it, even if the test process itself is killed. */
export interface SoakProcesses {
  /** Starts the built entry instance with these settings. */
  startInstance(settings: InstanceSettings, options?: InstanceOptions): InstanceProcess;
  /** Starts a backend server and waits until it listens; rejects if it ends before. */
  startWorker(settings: WorkerProcessSettings, observer: WorkerObserver): Promise<WorkerProcess>;
  /** Kills all processes, waits for their end and removes the temporary files. */
  close(): Promise<void>;
}

/** Receives what a backend server observes. */
export interface WorkerObserver {
  addRun(run: ObservedRun): void;
  addRejection(rejection: ObservedRejection): void;
}

/** Settings of an entry instance, as they are written to its settings file. */
export interface InstanceSettings extends Readonly<Record<string, unknown>> {
  readonly name: string;
}

/** Options of the process of an entry instance. */
export interface InstanceOptions {
  /** Called with each line that it logs. */
  readonly onLine?: (line: string) => void;
  /** Arguments of Node.js before the program; by default none. */
  readonly nodeArguments?: readonly string[];
  /** Returns the program and its arguments, with the path of its settings file; by default the built entry instance. */
  readonly program?: (settingsFile: string) => readonly string[];
}

/** A tracked process. */
export interface RunningProcess {
  readonly pid: number;
  readonly hasEnded: boolean;
  /** Exit code; null while it runs and if a signal ended it. */
  readonly exitCode: number | null;
  /** Sends a signal; does nothing if the process has ended. */
  signal(name: NodeJS.Signals): void;
  /** Resolves when the process has ended. */
  waitForExit(): Promise<void>;
}

/** Process of an entry instance. */
export interface InstanceProcess extends RunningProcess {
  /** Number of lines that it has logged. */
  readonly lineCount: number;
  /** The last of these lines. */
  readonly lastLines: readonly string[];
  /** Returns its resident set size in bytes and its open file descriptors; undefined once it has ended. */
  resourceUsage(): { readonly memory: number; readonly descriptors: number } | undefined;
}

/** Process of a backend server. */
export interface WorkerProcess extends RunningProcess {
  /** `IP:PORT` at which it listens. */
  readonly address: string;
  /** Sends a command; does nothing once the process has disconnected. */
  send(command: WorkerCommand): void;
}

/** The entry instance that `node build.mjs platform` builds. */
const ENTRY_PROGRAM = "target/entry.cjs";
/** Maximum number of log lines that are kept per instance. */
const MAX_KEPT_LINES = 6_000;
const BYTES_PER_KIBIBYTE = 1_024;
/** The modules of the child processes are TypeScript; the loader of the test process may not be inherited. */
const EXEC_ARGUMENTS = ["--import", "tsx"];

/** Command that resets a backend server to its normal behavior without announcements. */
export const NORMAL_BEHAVIOR: WorkerCommand = {
  mood: WorkerBehavior.Normal,
  limit: undefined,
  isLeaving: false,
  pause: undefined,
};

/** Starts the guard process and returns the functions that start the other processes. */
export async function createSoakProcesses(): Promise<SoakProcesses> {
  const folder = mkdtempSync(path.join(tmpdir(), "soak-"));
  const children = new Set<ChildProcess>();
  const guard = fork(moduleFile("guard"), [], { execArgv: EXEC_ARGUMENTS });
  await once(guard, "spawn");

  const track = (child: ChildProcess): RunningProcess => {
    const pid = child.pid ?? 0;
    const notifyGuard = (isStarted: boolean): void => {
      const message: GuardMessage = { pid, isStarted };
      if (guard.connected) guard.send(message);
    };
    children.add(child);
    notifyGuard(true);
    const hasEnded = (): boolean => child.exitCode !== null || child.signalCode !== null;
    const exited = new Promise<void>((resolve) => {
      child.on("exit", () => {
        children.delete(child);
        notifyGuard(false);
        resolve();
      });
    });
    return {
      pid,
      get hasEnded() {
        return hasEnded();
      },
      get exitCode() {
        return child.exitCode;
      },
      signal: (name) => {
        if (!hasEnded()) child.kill(name);
      },
      waitForExit: () => exited,
    };
  };
  return {
    startInstance: (
      settings,
      { onLine, nodeArguments = [], program = () => [ENTRY_PROGRAM] } = {},
    ) => {
      const file = path.join(folder, `${settings.name}.jsonc`);
      writeFileSync(file, JSON.stringify(settings));
      const child = spawn(process.execPath, [...nodeArguments, ...program(file)], {
        env: { ...process.env, SAMPHIRESHORE_BOOT: file },
        stdio: ["ignore", "pipe", "pipe"],
      });
      const running = track(child);
      const lastLines: string[] = [];
      let lineCount = 0;
      for (const stream of [child.stdout, child.stderr]) {
        createInterface({ input: stream }).on("line", (line) => {
          lineCount++;
          onLine?.(line);
          lastLines.push(line);
          if (lastLines.length > MAX_KEPT_LINES) lastLines.shift();
        });
      }
      return Object.defineProperties(running as InstanceProcess, {
        lineCount: { get: () => lineCount },
        lastLines: { get: () => lastLines },
        resourceUsage: {
          value: () => (running.hasEnded ? undefined : readResourceUsage(running.pid)),
        },
      });
    },
    startWorker: async (settings, observer) => {
      const file = moduleFile("worker_process");
      const child = fork(file, [JSON.stringify(settings)], { execArgv: EXEC_ARGUMENTS });
      const running = track(child);
      const address = await new Promise<string>((resolve, reject) => {
        child.on("message", (message: WorkerMessage) => {
          if (message.kind === "ready") resolve(message.address);
          else if (message.kind === "run") observer.addRun(message.run);
          else observer.addRejection(message.rejection);
        });
        child.on("exit", () =>
          reject(new Error(`backend server ${settings.id} ended during its start`)),
        );
      });
      return Object.defineProperties(running as WorkerProcess, {
        address: { value: address },
        send: {
          value: (command: WorkerCommand) => {
            if (child.connected) child.send(command);
          },
        },
      });
    },
    close: async () => {
      const ends = [...children].map((child) => {
        const ended = once(child, "exit");
        child.kill("SIGKILL");
        return ended;
      });
      await Promise.all(ends);
      const guardEnded = once(guard, "exit");
      guard.disconnect();
      await guardEnded;
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

function moduleFile(name: string): string {
  return path.join(import.meta.dirname, `${name}.ts`);
}

function readResourceUsage(pid: number): { memory: number; descriptors: number } | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return {
      memory: kilobytes * BYTES_PER_KIBIBYTE,
      descriptors: readdirSync(`/proc/${pid}/fd`).length,
    };
  } catch {
    // The process has ended meanwhile.
    return undefined;
  }
}
