/**
 * One worker of a soak, as a process of its own.
 *
 * @module
 */
import { startWorkerStandin } from "../../platform/testing/worker_standin.ts";
import type { WorkerMood } from "../../platform/testing/worker_standin.ts";
import { childSettings } from "../child.ts";
import { wallNow } from "./observation.ts";
import type { ObservedRun } from "./observation.ts";

/** What the process is started with. */
export interface WorkerProcessSettings {
  readonly id: string;
  readonly service: string;
  /** Milliseconds that an answer takes. */
  readonly answerTime: number;
  /** A request with this body ends the process when it begins to run. */
  readonly crashesOn: string;
}

/** What the process says: first where it listens, then each run. */
export type WorkerMessage =
  | { readonly kind: "ready"; readonly address: string }
  | { readonly kind: "run"; readonly run: ObservedRun };

/** What the process is told. */
export interface WorkerOrder {
  readonly mood: WorkerMood;
  /** The requests a second that it names. */
  readonly limit: number | undefined;
}

const settings = childSettings() as WorkerProcessSettings;

function say(message: WorkerMessage): Promise<void> {
  return new Promise((resolve) => process.send?.(message, () => resolve()));
}

const worker = await startWorkerStandin(settings.id, settings.service, {
  answerTime: settings.answerTime,
  crashesOn: (body) => body === settings.crashesOn,
  onRun: ({ id, body }) => {
    const run = {
      id,
      body,
      worker: settings.id,
      at: wallNow(),
      hasCrashed: body === settings.crashesOn,
    };
    // What was said before the process ends is still delivered.
    void say({ kind: "run", run });
  },
  crash: async () => {
    await new Promise((resolve) => setImmediate(resolve));
    process.kill(process.pid, "SIGKILL");
  },
});
process.on("message", ({ mood, limit }: WorkerOrder) => {
  worker.mood = mood;
  worker.limit = limit;
});
process.on("disconnect", () => process.exit(0));
await say({ kind: "ready", address: worker.address });
