/** A value of the platform's object API with the version that the last write gave it. */
export interface StoredObject {
  readonly key: string;
  /** Grows with every write to this key, beginning at 1. */
  readonly version: number;
  /** At most one megabyte. */
  readonly value: string;
}

/** How a conditional write ended. */
export type PutOutcome =
  | { readonly kind: "written"; readonly version: number }
  /** The version was another than expected; `current` is missing where the key has no value. */
  | { readonly kind: "conflict"; readonly current?: StoredObject }
  /** It was certainly not written: the call never reached the store, or the store turned it away. */
  | { readonly kind: "unavailable"; readonly detail: string; readonly retryAfter?: number }
  /** It may have been written: the answer was lost. Only reading back can tell. */
  | { readonly kind: "unknown"; readonly detail: string };

/** How a read ended. */
export type GetOutcome =
  | { readonly kind: "found"; readonly object: StoredObject }
  | { readonly kind: "absent" }
  | { readonly kind: "unavailable"; readonly detail: string };

/** A store out of which objects can be taken. */
export interface ErasableStore {
  /** Takes an object out; says whether it is certainly gone. */
  erase(key: string): Promise<boolean>;
}

/** Options of {@linkcode ObjectStore.put}. */
export interface PutOptions {
  /** The version that the key must have for the write to apply; 0 says that it must not exist. */
  readonly expect: number;
}

/**
 * The platform's object API: the one place where anything is agreed. It is limited in rate, sometimes
 * down for long, and an answer can be lost after the write has taken effect.
 */
export interface ObjectStore {
  get(key: string): Promise<GetOutcome>;
  put(key: string, value: string, options: PutOptions): Promise<PutOutcome>;
  /** Resolves with the first object newer than `after`, or undefined when the store ends the wait. */
  watch(key: string, after: number, signal: AbortSignal): Promise<StoredObject | undefined>;
  close(): void;
}
