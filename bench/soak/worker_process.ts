/**
 * Child process that runs one backend server of the soak test.
 *
 * @module
 */
import { startWorkerStandin } from "../../platform/testing/worker_standin.ts";
import type { WorkerBehavior } from "../../platform/testing/worker_standin.ts";
import { childSettings } from "../child.ts";
import { wallNow } from "./observation.ts";
import type { ObservedRejection, ObservedRun } from "./observation.ts";

/** Settings of the process. */
export interface WorkerProcessSettings {
  /** Id of the backend server. */
  readonly id: string;
  readonly service: string;
  /** Version of its software. */
  readonly version: string;
  /** When the process started, in Unix milliseconds. */
  readonly startedAt: number;
  /** Milliseconds that an answer takes. */
  readonly answerTime: number;
  /** Request body that crashes the process when its run starts. */
  readonly crashesOn: string;
}

/** Message from the process: first its address, then each run when it starts and each rejection. */
export type WorkerMessage =
  | { readonly kind: "ready"; readonly address: string }
  | { readonly kind: "run"; readonly run: ObservedRun }
  | { readonly kind: "rejection"; readonly rejection: ObservedRejection };

/** Command to the process. */
export interface WorkerCommand {
  /** Behavior from now on. */
  readonly mood: WorkerBehavior;
  /** Limit that it announces, in requests per second; undefined for none. */
  readonly limit: number | undefined;
  /** Whether its responses announce that it is leaving. */
  readonly isLeaving: boolean;
  /** Seconds for which its rejections ask for no further requests; undefined if they ask for no pause. */
  readonly pause: number | undefined;
}

const MILLISECONDS_PER_SECOND = 1_000;

const settings = childSettings() as WorkerProcessSettings;

function send(message: WorkerMessage): Promise<void> {
  return new Promise((resolve) => process.send?.(message, () => resolve()));
}

const worker = await startWorkerStandin(settings.id, settings.service, {
  answerTime: settings.answerTime,
  version: settings.version,
  startedAt: settings.startedAt,
  crashesOn: (body) => body === settings.crashesOn,
  onRun: ({ id, body }) => {
    const run = {
      id,
      body,
      worker: settings.id,
      at: wallNow(),
      hasCrashed: body === settings.crashesOn,
      announcesLeaving: worker.isLeaving,
    };
    // A message that is sent before the process ends is still delivered.
    void send({ kind: "run", run });
  },
  onRejection: (id) => {
    const pause = (worker.pause ?? 0) * MILLISECONDS_PER_SECOND;
    const rejection = { id, worker: settings.id, at: wallNow(), pause };
    void send({ kind: "rejection", rejection });
  },
  crash: async () => {
    await new Promise((resolve) => setImmediate(resolve));
    process.kill(process.pid, "SIGKILL");
  },
});
process.on("message", ({ mood, limit, isLeaving, pause }: WorkerCommand) => {
  worker.behavior = mood;
  worker.limit = limit;
  worker.isLeaving = isLeaving;
  worker.pause = pause;
});
process.on("disconnect", () => process.exit(0));
await send({ kind: "ready", address: worker.address });
