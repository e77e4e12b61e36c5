import type { PutOutcome, StoredObject } from "../interface/index.ts";

/** The objects of the platform stand-in, in memory. */
export interface ObjectTable {
  get(key: string): StoredObject | undefined;
  put(key: string, value: string, expect: number): PutOutcome;
  /** Resolves with the first object newer than `after`. */
  changed(key: string, after: number, signal: AbortSignal): Promise<StoredObject | undefined>;
}

/** An empty table. */
export function createObjectTable(): ObjectTable {
  const objects = new Map<string, StoredObject>();
  const waiting = new Set<() => void>();
  const newer = (key: string, after: number): StoredObject | undefined => {
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
      for (const wake of [...waiting]) wake();
      return { kind: "written", version };
    },
    changed: (key, after, signal) =>
      new Promise((resolve) => {
        const wake = (): void => {
          const object = newer(key, after);
          if (object === undefined && !signal.aborted) return;
          waiting.delete(wake);
          resolve(object);
        };
        waiting.add(wake);
        signal.addEventListener("abort", wake, { once: true });
        wake();
      }),
  };
}
