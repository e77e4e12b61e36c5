/**
 * Child process that runs one backend server of the soak test.
 *
 * @module
 */
import { startWorkerStandin } from "../../platform/testing/worker_standin.ts";
import type { WorkerMood } from "../../platform/testing/worker_standin.ts";
import { childSettings } from "../child.ts";
import { wallNow } from "./observation.ts";
import type { ObservedRun } from "./observation.ts";

/** Settings of the process. */
export interface WorkerProcessSettings {
  /** Id of the backend server. */
  readonly id: string;
  readonly service: string;
  /** Milliseconds that an answer takes. */
  readonly answerTime: number;
  /** Request body that crashes the process when its run starts. */
  readonly crashesOn: string;
}

/** Message from the process: first its address, then each run when it starts. */
export type WorkerMessage =
  | { readonly kind: "ready"; readonly address: string }
  | { readonly kind: "run"; readonly run: ObservedRun };

/** Command to the process. */
export interface WorkerCommand {
  /** Behavior from now on. */
  readonly mood: WorkerMood;
  /** Limit that it announces, in requests per second; undefined for none. */
  readonly limit: number | undefined;
}

const settings = childSettings() as WorkerProcessSettings;

function send(message: WorkerMessage): Promise<void> {
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
    // A message that is sent before the process ends is still delivered.
    void send({ kind: "run", run });
  },
  crash: async () => {
    await new Promise((resolve) => setImmediate(resolve));
    process.kill(process.pid, "SIGKILL");
  },
});
process.on("message", ({ mood, limit }: WorkerCommand) => {
  worker.mood = mood;
  worker.limit = limit;
});
process.on("disconnect", () => process.exit(0));
await send({ kind: "ready", address: worker.address });
