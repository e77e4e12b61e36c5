/** An object of a kind, as the platform's store keeps it. */
export interface FeedObject {
  readonly name: string;
  /** The store's version of the object's last change; grows over all objects together. */
  readonly version: number;
  /** What it holds, as it was decoded from the wire; nothing is checked yet. */
  readonly value: unknown;
  /** What was said of it, in the same way; undefined where nothing was. */
  readonly status?: unknown;
}

/** All objects of a kind at one moment. */
export interface FeedList {
  readonly objects: readonly FeedObject[];
  /** The version from which to watch on. */
  readonly version: number;
  /** The version of the last change, where it is known better than from the objects that are there. */
  readonly changedAt?: number | undefined;
  /** Milliseconds since the last change was first heard of by an instance, where another instance sent the list. */
  readonly age?: number | undefined;
}

/** What became of one object. */
export interface FeedChange {
  readonly object: FeedObject;
  readonly removed: boolean;
}

/** Changes of the objects of a kind between two of the store's versions. */
export interface FeedDelta {
  readonly kind: string;
  readonly from: number;
  readonly to: number;
  readonly changes: readonly FeedChange[];
  /** Milliseconds since the oldest of the changes was first heard of by an instance. */
  readonly age: number;
}

/** What a watch found. */
export type WatchOutcome =
  | { readonly kind: "changed"; readonly changes: readonly FeedChange[]; readonly version: number }
  /** The changes since the given version are gone: only a new list tells what there is. */
  | { readonly kind: "history-lost" };

/** Kinds of objects that can be listed and watched. A call that isn't answered in time rejects. */
export interface ObjectFeed {
  listKind(kind: string): Promise<FeedList>;
  /**
   * Waits for changes after `version`.
   *
   * @param wait Milliseconds after which the store answers that there were none.
   */
  watchKind(kind: string, version: number, wait: number): Promise<WatchOutcome>;
}
