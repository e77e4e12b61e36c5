import { sleep } from "../../interface/index.ts";
import type { Clock, ObjectStore, PutOutcome } from "../../interface/index.ts";
import { createObjectTable } from "../object_table.ts";
import { waitForAbort } from "./wait_for_abort.ts";

/** The platform's object API in memory, with injected failures. */
export interface MemoryStore {
  /**
   * Returns the store client of an instance. Responses wait for `whenRunning`, which resolves
   * unless the instance is paused.
   */
  connect(whenRunning?: () => Promise<void>): ObjectStore;
  /**
   * Makes the store unavailable or available again. While it is unavailable, calls fail without
   * effect, and watches hang.
   */
  setUnavailable(isUnavailable: boolean): void;
  /** Applies the next `count` writes but drops their responses. */
  dropResponses(count: number): void;
  /** Makes the watches that are open hang forever. New watches work. */
  hangOpenWatches(): void;
  /** Returns the number of calls so far, including watches. */
  calls(): number;
}

/** Duration of a call in milliseconds. */
const CALL_TIME = 3;
/** Milliseconds after which a watch ends if the object hasn't changed. */
const WATCH_TIMEOUT = 30_000;

/** Creates an empty store. */
export function createMemoryStore(clock: Clock): MemoryStore {
  const table = createObjectTable();
  const state = { isUnavailable: false };
  const isUnavailable = (): boolean => state.isUnavailable;
  let responsesToDrop = 0;
  let watchGeneration = 0;
  let callCount = 0;

  const write = (key: string, value: string, expect: number): PutOutcome => {
    if (isUnavailable()) return { kind: "unavailable", detail: "The store is unavailable." };
    const outcome = table.put(key, value, expect);
    if (responsesToDrop === 0) return outcome;
    responsesToDrop--;
    return { kind: "unknown", detail: "The response was lost." };
  };

  const connect = (whenRunning: () => Promise<void> = () => Promise.resolve()): ObjectStore => {
    const call = async (): Promise<void> => {
      callCount++;
      await sleep(clock, CALL_TIME);
    };
    return {
      get: async (key) => {
        await call();
        const object = table.get(key);
        const wasDown = isUnavailable();
        await whenRunning();
        if (wasDown) return { kind: "unavailable", detail: "The store is unavailable." };
        return object === undefined ? { kind: "absent" } : { kind: "found", object };
      },
      put: async (key, value, { expect }) => {
        await call();
        const outcome = write(key, value, expect);
        await whenRunning();
        return outcome;
      },
      watch: async (key, after, signal) => {
        await call();
        if (isUnavailable()) throw new Error("The store is unavailable: the watch was not opened.");
        const generation = watchGeneration;
        const timeout = new AbortController();
        const timer = clock.after(WATCH_TIMEOUT, () =>
          timeout.abort(new Error("The object has not changed.")),
        );
        const object = await table.waitForChange(
          key,
          after,
          AbortSignal.any([signal, timeout.signal]),
        );
        timer.close();
        if (generation !== watchGeneration || isUnavailable()) await waitForAbort(signal);
        await whenRunning();
        return object;
      },
      close: () => undefined,
    };
  };
  return {
    connect,
    setUnavailable: (value) => {
      state.isUnavailable = value;
    },
    dropResponses: (count) => {
      responsesToDrop = count;
    },
    hangOpenWatches: () => {
      watchGeneration++;
    },
    calls: () => callCount,
  };
}
