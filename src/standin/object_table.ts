import type { PutOutcome, StoredObject } from "../interface/index.ts";

/** The objects of the platform stand-in, in memory. */
export interface ObjectTable {
  get(key: string): StoredObject | undefined;
  put(key: string, value: string, expect: number): PutOutcome;
  /** Resolves with the first object newer than `after`. */
  waitForChange(key: string, after: number, signal: AbortSignal): Promise<StoredObject | undefined>;
}

/** An empty table. */
export function createObjectTable(): ObjectTable {
  const objects = new Map<string, StoredObject>();
  const watchers = new Set<() => void>();
  const findNewer = (key: string, after: number): StoredObject | undefined => {
    const object = objects.get(key);
    return object !== undefined && object.version > after ? object : undefined;
  };
  return {
    get: (key) => objects.get(key),
    put: (key, value, expect) => {
      const current = objects.get(key);
      if ((current?.version ?? 0) !== expect) {
        return current === undefined ? { kind: "conflict" } : { kind: "conflict", current };
      }
      const version = expect + 1;
      objects.set(key, { key, version, value });
      for (const check of [...watchers]) check();
      return { kind: "written", version };
    },
    waitForChange: (key, after, signal) =>
      new Promise((resolve) => {
        const check = (): void => {
          const object = findNewer(key, after);
          if (object === undefined && !signal.aborted) return;
          watchers.delete(check);
          resolve(object);
        };
        watchers.add(check);
        signal.addEventListener("abort", check, { once: true });
        check();
      }),
  };
}
