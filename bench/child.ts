import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import path from "node:path";

/** Processor time and memory that a child process has used. */
export interface Usage {
  /** Processor time of all threads since the process started, in milliseconds. */
  readonly processor: number;
  /** Resident set size after a garbage collection, in bytes. */
  readonly resident: number;
  /** Used heap after a garbage collection, in bytes. */
  readonly heap: number;
}

/** A child process that the benchmark starts and stops. */
export interface Child<Ready> {
  /** Value that the child sent when it became ready, such as its addresses. */
  readonly ready: Ready;
  /** Requests the current usage from the child. */
  usage(): Promise<Usage>;
  /** Disconnects from the child and waits until it has exited. */
  close(): Promise<void>;
}

/** Message from a child: first its ready value, then one usage report per request. */
type Message<Ready> = { readonly ready: Ready } | { readonly usage: Usage };

/**
 * Starts a module of this folder as a child process, so that its processor time and memory are measured
 * separately from those of the benchmark.
 *
 * @param module File name without its extension.
 * @param settings JSON value that the module reads with {@linkcode childSettings}.
 * @param options `nodeArguments` are those of Node.js that load the module; by default those of this process.
 * @throws If the child exits early or sends something else before its ready value.
 */
export async function startChild<Ready>(
  module: string,
  settings: unknown,
  { nodeArguments = process.execArgv }: { readonly nodeArguments?: readonly string[] } = {},
): Promise<Child<Ready>> {
  const file = path.join(import.meta.dirname, `${module}.ts`);
  const execArgv = [...nodeArguments, "--expose-gc"];
  const child = fork(file, [JSON.stringify(settings)], { execArgv });
  const first = await nextMessage<Ready>(child);
  if (!("ready" in first)) throw new Error(`${module} sent another message before it was ready`);
  return {
    ready: first.ready,
    usage: async () => {
      const reply = nextMessage<Ready>(child);
      child.send("usage");
      const message = await reply;
      if (!("usage" in message)) throw new Error(`${module} did not reply with its usage`);
      return message.usage;
    },
    close: async () => {
      const ended = once(child, "exit");
      child.disconnect();
      await ended;
    },
  };
}

async function nextMessage<Ready>(child: ChildProcess): Promise<Message<Ready>> {
  const failed = once(child, "exit").then(() => {
    throw new Error("child process exited early");
  });
  const message = once(child, "message") as Promise<[Message<Ready>]>;
  const [received] = await Promise.race([message, failed]);
  return received;
}

/** In a child: returns the settings that the parent passed to {@linkcode startChild}. */
export function childSettings(): unknown {
  return JSON.parse(process.argv[2] ?? "{}");
}

/**
 * In a child: sends the ready value and replies to usage requests until the parent disconnects.
 *
 * @param ready Value that the parent receives as {@linkcode Child.ready}.
 * @param close Called when the parent has disconnected; the process exits afterwards.
 */
export function serveParent(ready: unknown, close: () => Promise<void>): void {
  process.send?.({ ready });
  process.on("message", () => process.send?.({ usage: usageNow() }));
  process.on("disconnect", () => {
    void close().then(() => process.exit(0));
  });
}

function usageNow(): Usage {
  const { user, system } = process.cpuUsage();
  // The second collection frees what the finalizers of the first one have released.
  globalThis.gc?.();
  globalThis.gc?.();
  const { rss, heapUsed } = process.memoryUsage();
  return { processor: (user + system) / 1_000, resident: rss, heap: heapUsed };
}
