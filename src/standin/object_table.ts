import type { PutOutcome, StoredObject } from "../interface/index.ts";

/** The versioned objects of the simulated platform, in memory. */
export interface ObjectTable {
  /** Returns the object with a key. */
  get(key: string): StoredObject | undefined;
  /**
   * Writes a value if the object's version is `expect`; 0 means that the object doesn't exist.
   */
  put(key: string, value: string, expect: number): PutOutcome;
  /**
   * Resolves with the object once its version is greater than `after`, or with undefined when the
   * signal aborts.
   */
  waitForChange(key: string, after: number, signal: AbortSignal): Promise<StoredObject | undefined>;
}

/** Creates an empty table. */
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
