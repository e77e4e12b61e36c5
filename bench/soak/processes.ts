import { fork, spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { createInterface } from "node:readline";
import { WorkerMood } from "../../platform/testing/worker_standin.ts";
import type { GuardMessage } from "./guard.ts";
import type { ObservedRun } from "./observation.ts";
import type { WorkerMessage, WorkerOrder, WorkerProcessSettings } from "./worker_process.ts";

/** The processes of one soak; all of them are ended with it, also where the soak itself is killed. */
export interface SoakProcesses {
  /** Starts an entry instance as it is built, with these settings. */
  startInstance(settings: InstanceSettings): InstanceProcess;
  /** Starts a worker and waits until it listens. */
  startWorker(
    settings: WorkerProcessSettings,
    onRun: (run: ObservedRun) => void,
  ): Promise<WorkerProcess>;
  close(): Promise<void>;
}

/** The settings of an entry instance as they stand in its file. */
export interface InstanceSettings extends Readonly<Record<string, unknown>> {
  readonly name: string;
}

/** A process that signals can be sent to. */
export interface RunningProcess {
  readonly pid: number;
  readonly hasEnded: boolean;
  /** Sends a signal; nothing where the process has ended. */
  signal(name: NodeJS.Signals): void;
  /** Resolves when the process has ended. */
  ended(): Promise<void>;
}

/** An entry instance. */
export interface InstanceProcess extends RunningProcess {
  /** Lines that it has logged, and the last of them. */
  readonly lines: number;
  readonly lastLines: readonly string[];
  /** Bytes resident, and open files; undefined once it has ended. */
  use(): { readonly memory: number; readonly descriptors: number } | undefined;
}

/** A worker. */
export interface WorkerProcess extends RunningProcess {
  readonly address: string;
  tell(order: WorkerOrder): void;
}

/** The entry instance as `node build.mjs platform` builds it. */
const PROGRAM = "target/entry.cjs";
/** Lines of an instance's log that are kept. */
const KEPT_LINES = 6_000;
const KILOBYTE = 1_024;
/** Child processes are written in TypeScript, whatever runs the soak itself. */
const EXEC_ARGUMENTS = ["--import", "tsx"];

/** What a worker is told that is well. */
export const WELL: WorkerOrder = { mood: WorkerMood.Well, limit: undefined };

/** Makes the place where processes are started. */
export async function openProcesses(): Promise<SoakProcesses> {
  const folder = mkdtempSync(path.join(tmpdir(), "soak-"));
  const children = new Set<ChildProcess>();
  const guard = fork(moduleFile("guard"), [], { execArgv: EXEC_ARGUMENTS });
  await once(guard, "spawn");

  const watch = (child: ChildProcess): RunningProcess => {
    const pid = child.pid ?? 0;
    const tellGuard = (isStarted: boolean): void => {
      const message: GuardMessage = { pid, isStarted };
      if (guard.connected) guard.send(message);
    };
    children.add(child);
    tellGuard(true);
    const hasEnded = (): boolean => child.exitCode !== null || child.signalCode !== null;
    const exited = new Promise<void>((resolve) => {
      child.on("exit", () => {
        children.delete(child);
        tellGuard(false);
        resolve();
      });
    });
    return {
      pid,
      get hasEnded() {
        return hasEnded();
      },
      signal: (name) => {
        if (!hasEnded()) child.kill(name);
      },
      ended: () => exited,
    };
  };
  return {
    startInstance: (settings) => {
      const file = path.join(folder, `${settings.name}.jsonc`);
      writeFileSync(file, JSON.stringify(settings));
      const child = spawn(process.execPath, [PROGRAM], {
        env: { ...process.env, SAMPHIRESHORE_BOOT: file },
        stdio: ["ignore", "pipe", "pipe"],
      });
      const running = watch(child);
      const last: string[] = [];
      let lines = 0;
      for (const stream of [child.stdout, child.stderr]) {
        createInterface({ input: stream }).on("line", (line) => {
          lines++;
          last.push(line);
          if (last.length > KEPT_LINES) last.shift();
        });
      }
      return Object.defineProperties(running as InstanceProcess, {
        lines: { get: () => lines },
        lastLines: { get: () => last },
        use: { value: () => (running.hasEnded ? undefined : useOf(running.pid)) },
      });
    },
    startWorker: async (settings, onRun) => {
      const file = moduleFile("worker_process");
      const child = fork(file, [JSON.stringify(settings)], { execArgv: EXEC_ARGUMENTS });
      const running = watch(child);
      const address = await new Promise<string>((resolve, reject) => {
        child.on("message", (message: WorkerMessage) => {
          if (message.kind === "ready") resolve(message.address);
          else onRun(message.run);
        });
        child.on("exit", () => reject(new Error(`Worker ${settings.id} has ended at its start.`)));
      });
      return Object.defineProperties(running as WorkerProcess, {
        address: { value: address },
        tell: {
          value: (order: WorkerOrder) => {
            if (child.connected) child.send(order);
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

function useOf(pid: number): { memory: number; descriptors: number } | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return {
      memory: kilobytes * KILOBYTE,
      descriptors: readdirSync(`/proc/${pid}/fd`).length,
    };
  } catch {
    // It has ended meanwhile.
    return undefined;
  }
}
