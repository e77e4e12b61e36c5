import { sleep } from "../../interface/index.ts";
import { eraOf, revisionOf, storeVersion } from "../../version/index.ts";
import type { Clock, FeedChange, FeedObject, ObjectFeed } from "../../interface/index.ts";

/** In-memory store of objects of one kind, with fault injection. */
export interface MemoryFeed {
  /** Writes an object, or removes it if no value is given. */
  put(name: string, value?: unknown): void;
  /** Returns a function that restores the store to its present content and counts the restore. */
  copy(): () => void;
  /** Returns the store as accessed by the named instance. */
  of(instance: string): ObjectFeed;
  /** Stops answering all pending calls. New calls are answered. */
  silencePending(): void;
  /** Names of instances that get no answer. */
  readonly cut: Set<string>;
  /** Number of calls since the start, by instance. */
  readonly calls: Map<string, number>;
}

/** Milliseconds after its timeout at which an unanswered call fails. */
const GIVE_UP_DELAY = 500;
/** Milliseconds that an answered call takes, in addition to waiting for a change. */
const CALL_TIME = 4;

/** Creates an empty store. */
export function createMemoryFeed(clock: Clock): MemoryFeed {
  let version = 1;
  const objects = new Map<string, FeedObject>();
  let history: { version: number; change: FeedChange }[] = [];
  const waiting = new Set<() => void>();
  const cut = new Set<string>();
  let silences = 0;
  const calls = new Map<string, number>();

  const countCall = (instance: string): void =>
    void calls.set(instance, (calls.get(instance) ?? 0) + 1);
  const wakeAll = (): void => {
    for (const wake of waiting) wake();
    waiting.clear();
  };
  const since = (from: number): FeedChange[] =>
    history.filter((one) => one.version > from).map(({ change }) => change);
  const waitForChange = (milliseconds: number): Promise<void> =>
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
  const simulateCall = async (instance: string, wait: number): Promise<void> => {
    await sleep(clock, CALL_TIME);
    if (!cut.has(instance)) return;
    await sleep(clock, wait + GIVE_UP_DELAY);
    throw new Error("no answer");
  };
  return {
    put: (name, value) => {
      version++;
      const object = { name, version, value };
      if (value === undefined) objects.delete(name);
      else objects.set(name, object);
      history.push({ version, change: { object, removed: value === undefined } });
      wakeAll();
    },
    copy: () => {
      const copied = [...objects.values()];
      const revision = revisionOf(version);
      return () => {
        const era = eraOf(version) + 1;
        version = storeVersion({ era, revision });
        objects.clear();
        for (const { name, version: copiedVersion, value } of copied) {
          const restored = storeVersion({ era, revision: revisionOf(copiedVersion) });
          objects.set(name, { name, version: restored, value });
        }
        history = [];
        wakeAll();
      };
    },
    of: (instance) => ({
      listKind: async () => {
        countCall(instance);
        await simulateCall(instance, GIVE_UP_DELAY);
        return { objects: [...objects.values()], version };
      },
      watchKind: async (_kind, from, wait) => {
        countCall(instance);
        const givesUpAt = clock.now() + wait + GIVE_UP_DELAY;
        const silencesBefore = silences;
        if (since(from).length === 0) await waitForChange(wait);
        await simulateCall(instance, 0);
        if (silences !== silencesBefore) {
          await sleep(clock, Math.max(0, givesUpAt - clock.now()));
          throw new Error("no answer");
        }
        if (eraOf(from) < eraOf(version)) return { kind: "history-lost" };
        return { kind: "changed", changes: since(from), version };
      },
    }),
    silencePending: () => {
      silences++;
    },
    cut,
    calls,
  };
}
