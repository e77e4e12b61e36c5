/** A value in the platform's object API, with the version of its last write. */
export interface StoredObject {
  readonly key: string;
  /** Increases with every write to this key. It is at least 1. */
  readonly version: number;
  /** The value, at most 1 MB. */
  readonly value: string;
}

/** The outcome of a conditional write. */
export type PutOutcome =
  | { readonly kind: "written"; readonly version: number }
  /** The key has another version than expected; `current` is absent if the key has no value. */
  | { readonly kind: "conflict"; readonly current?: StoredObject }
  /** The value was not written: the call never reached the store, or the store refused it. */
  | { readonly kind: "unavailable"; readonly detail: string; readonly retryAfter?: number }
  /** The value may have been written: the response was lost. Only a read shows whether it was. */
  | { readonly kind: "unknown"; readonly detail: string };

/** The outcome of a read. */
export type GetOutcome =
  | { readonly kind: "found"; readonly object: StoredObject }
  | { readonly kind: "absent" }
  | { readonly kind: "unavailable"; readonly detail: string };

/** A store that counts how often it was restored from a copy, which loses what was written since. */
export interface RestorableStore {
  /** The number of restores as of the latest response; 0 if the store doesn't count them. */
  readonly era: number;
}

/** A store whose objects can be deleted. */
export interface DeletableStore {
  /**
   * Deletes an object. Resolves with true only if the object certainly no longer exists.
   *
   * @param options `expect` is the version that the object must have; by default any version is deleted.
   */
  delete(key: string, options?: PutOptions): Promise<boolean>;
}

/** Options of {@linkcode ObjectStore.put}. */
export interface PutOptions {
  /** The version that the key must have for the write to be applied; 0 means that the key must not exist. */
  readonly expect: number;
}

/**
 * The platform's object API, the only consistent storage that the instances share. It is rate-limited and can be
 * unavailable for a long time, and a response can be lost after the write has taken effect.
 */
export interface ObjectStore {
  /** Reads the value of a key. */
  get(key: string): Promise<GetOutcome>;
  /** Writes the value of a key if the key has the expected version. */
  put(key: string, value: string, options: PutOptions): Promise<PutOutcome>;
  /** Resolves with the first version of the object newer than `after`, or undefined when the store ends the wait. */
  watch(key: string, after: number, signal: AbortSignal): Promise<StoredObject | undefined>;
  /** Closes all connections to the store. */
  close(): void;
}
