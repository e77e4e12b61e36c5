import { sleep } from "../../interface/index.ts";
import type { Clock, ObjectStore, PutOutcome } from "../../interface/index.ts";
import { createObjectTable } from "../object_table.ts";
import { silentUntil } from "./silence.ts";

/** The platform's object API in memory, with the ways in which it fails. */
export interface MemoryStore {
  /** The store as one instance reaches it; `gate` holds answers back while the instance is frozen. */
  connect(gate?: () => Promise<void>): ObjectStore;
  /** Down: every call fails and is not applied; watches go silent. */
  setDown(down: boolean): void;
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
const WATCH_TIME = 30_000;

/** Makes an empty store. */
export function createMemoryStore(clock: Clock): MemoryStore {
  const table = createObjectTable();
  const state = { down: false };
  const isDown = (): boolean => state.down;
  let answersToLose = 0;
  let watchEra = 0;
  let calls = 0;

  const write = (key: string, value: string, expect: number): PutOutcome => {
    if (isDown()) return { kind: "unavailable", detail: "The store is down." };
    const outcome = table.put(key, value, expect);
    if (answersToLose === 0) return outcome;
    answersToLose--;
    return { kind: "unknown", detail: "The answer was lost." };
  };

  const connect = (gate: () => Promise<void> = () => Promise.resolve()): ObjectStore => {
    const call = async (): Promise<void> => {
      calls++;
      await sleep(clock, CALL_TIME);
    };
    return {
      get: async (key) => {
        await call();
        const object = table.get(key);
        const unreachable = isDown();
        await gate();
        if (unreachable) return { kind: "unavailable", detail: "The store is down." };
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
        const era = watchEra;
        const ended = new AbortController();
        const timer = clock.after(WATCH_TIME, () => ended.abort(new Error("Nothing changed.")));
        const object = await table.changed(key, after, AbortSignal.any([signal, ended.signal]));
        timer.close();
        if (era !== watchEra || isDown()) await silentUntil(signal);
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
      answersToLose = count;
    },
    silenceWatches: () => {
      watchEra++;
    },
    calls: () => calls,
  };
}
