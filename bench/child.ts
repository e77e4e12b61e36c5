import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import path from "node:path";

/** What a process of the bench has used. */
export interface Usage {
  /** Milliseconds of processor time, all threads. */
  readonly processor: number;
  /** Bytes resident, and on the heap after a collection. */
  readonly resident: number;
  readonly heap: number;
}

/** A process of the bench, started by it and ended by it. */
export interface Child<Ready> {
  readonly ready: Ready;
  usage(): Promise<Usage>;
  close(): Promise<void>;
}

/** What a child sends: first what it is ready with, then a usage for each question. */
type Message<Ready> = { readonly ready: Ready } | { readonly usage: Usage };

/**
 * Starts a module of this folder as a process of its own, so that its processor time and memory can be told
 * from the bench's.
 *
 * @param module File name without its ending.
 * @param settings What the module reads with {@linkcode childSettings}.
 */
export async function startChild<Ready>(module: string, settings: unknown): Promise<Child<Ready>> {
  const file = path.join(import.meta.dirname, `${module}.ts`);
  const execArgv = [...process.execArgv, "--expose-gc"];
  const child = fork(file, [JSON.stringify(settings)], { execArgv });
  const first = await nextMessage<Ready>(child);
  if (!("ready" in first)) throw new Error(`${module} said something else before it was ready.`);
  return {
    ready: first.ready,
    usage: async () => {
      const answer = nextMessage<Ready>(child);
      child.send("usage");
      const message = await answer;
      if (!("usage" in message)) throw new Error(`${module} was asked for its usage.`);
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
    throw new Error("A process of the bench has ended early.");
  });
  const message = once(child, "message") as Promise<[Message<Ready>]>;
  const [found] = await Promise.race([message, failed]);
  return found;
}

/** In a child: what it was started with. */
export function childSettings(): unknown {
  return JSON.parse(process.argv[2] ?? "{}");
}

/**
 * In a child: says that it is ready and answers questions until the bench lets go of it.
 *
 * @param close Called when the bench has let go.
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
  // The second collection takes what the first one's finalizers have let go.
  globalThis.gc?.();
  globalThis.gc?.();
  const { rss, heapUsed } = process.memoryUsage();
  return { processor: (user + system) / 1_000, resident: rss, heap: heapUsed };
}
