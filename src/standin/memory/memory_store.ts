import { sleep } from "../../interface/index.ts";
import type { Clock, ObjectStore, PutOutcome } from "../../interface/index.ts";
import { createObjectTable } from "../object_table.ts";
import { waitForAbort } from "./wait_for_abort.ts";

/** The platform's object API in memory, with the ways in which it fails. */
export interface MemoryStore {
  /** The store as one instance reaches it; `gate` holds answers back while the instance is frozen. */
  connect(gate?: () => Promise<void>): ObjectStore;
  /** Down: every call fails and is not applied; watches go silent. */
  setDown(isDown: boolean): void;
  /** The next `count` writes are applied and their answers are lost. */
  loseAnswers(count: number): void;
  /** Watches that are open now never report again, while new ones work. */
  silenceWatches(): void;
  /** Calls so far, watches included. */
  calls(): number;
}

/** How long a call takes, in milliseconds. */
const CALL_TIME = 3;
/** How long the store holds a watch on an object that doesn't change. */
const WATCH_TIMEOUT = 30_000;

/** Makes an empty store. */
export function createMemoryStore(clock: Clock): MemoryStore {
  const table = createObjectTable();
  const state = { down: false };
  const isDown = (): boolean => state.down;
  let responsesToDrop = 0;
  let watchGeneration = 0;
  let callCount = 0;

  const write = (key: string, value: string, expect: number): PutOutcome => {
    if (isDown()) return { kind: "unavailable", detail: "The store is down." };
    const outcome = table.put(key, value, expect);
    if (responsesToDrop === 0) return outcome;
    responsesToDrop--;
    return { kind: "unknown", detail: "The answer was lost." };
  };

  const connect = (gate: () => Promise<void> = () => Promise.resolve()): ObjectStore => {
    const call = async (): Promise<void> => {
      callCount++;
      await sleep(clock, CALL_TIME);
    };
    return {
      get: async (key) => {
        await call();
        const object = table.get(key);
        const wasDown = isDown();
        await gate();
        if (wasDown) return { kind: "unavailable", detail: "The store is down." };
        return object === undefined ? { kind: "absent" } : { kind: "found", object };
      },
      put: async (key, value, { expect }) => {
        await call();
        const outcome = write(key, value, expect);
        await gate();
        return outcome;
      },
      watch: async (key, after, signal) => {
        await call();
        if (isDown()) throw new Error("The store is down: no watch could be opened.");
        const generation = watchGeneration;
        const timeout = new AbortController();
        const timer = clock.after(WATCH_TIMEOUT, () =>
          timeout.abort(new Error("Nothing changed.")),
        );
        const object = await table.waitForChange(
          key,
          after,
          AbortSignal.any([signal, timeout.signal]),
        );
        timer.close();
        if (generation !== watchGeneration || isDown()) await waitForAbort(signal);
        await gate();
        return object;
      },
      close: () => undefined,
    };
  };
  return {
    connect,
    setDown: (value) => {
      state.down = value;
    },
    loseAnswers: (count) => {
      responsesToDrop = count;
    },
    silenceWatches: () => {
      watchGeneration++;
    },
    calls: () => callCount,
  };
}
