import { sleep } from "../../interface/index.ts";
import type { Clock, FeedChange, FeedObject, ObjectFeed } from "../../interface/index.ts";

/** A store's objects of one kind in memory, with what can go wrong on the way to it. */
export interface MemoryFeed {
  /** Writes an object, or removes it where no value is given. */
  put(name: string, value?: unknown): void;
  /** The store as the instance of that name reaches it. */
  of(instance: string): ObjectFeed;
  /** Instances that get no answer. */
  readonly cut: Set<string>;
  /** Calls since the start, by instance. */
  readonly calls: Map<string, number>;
}

/** How much later than its wait a watch that isn't answered is given up, in milliseconds. */
const GIVE_UP = 500;
const CALL_TIME = 4;

/** Makes an empty store. */
export function createMemoryFeed(clock: Clock): MemoryFeed {
  let version = 1;
  const objects = new Map<string, FeedObject>();
  const history: { version: number; change: FeedChange }[] = [];
  const waiting = new Set<() => void>();
  const cut = new Set<string>();
  const calls = new Map<string, number>();

  const called = (instance: string): void =>
    void calls.set(instance, (calls.get(instance) ?? 0) + 1);
  const since = (from: number): FeedChange[] =>
    history.filter((one) => one.version > from).map(({ change }) => change);
  const changed = (milliseconds: number): Promise<void> =>
    new Promise((resolve) => {
      const timer = clock.after(milliseconds, () => {
        waiting.delete(wake);
        resolve();
      });
      const wake = (): void => {
        timer.close();
        resolve();
      };
      waiting.add(wake);
    });
  const answered = async (instance: string, wait: number): Promise<void> => {
    await sleep(clock, CALL_TIME);
    if (!cut.has(instance)) return;
    await sleep(clock, wait + GIVE_UP);
    throw new Error("no answer");
  };
  return {
    put: (name, value) => {
      version++;
      const object = { name, version, value };
      if (value === undefined) objects.delete(name);
      else objects.set(name, object);
      history.push({ version, change: { object, removed: value === undefined } });
      for (const wake of waiting) wake();
      waiting.clear();
    },
    of: (instance) => ({
      listKind: async () => {
        called(instance);
        await answered(instance, GIVE_UP);
        return { objects: [...objects.values()], version };
      },
      watchKind: async (_kind, from, wait) => {
        called(instance);
        if (since(from).length === 0) await changed(wait);
        await answered(instance, 0);
        return { kind: "changed", changes: since(from), version };
      },
    }),
    cut,
    calls,
  };
}
