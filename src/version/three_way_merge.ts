import { isDeepStrictEqual } from "node:util";

/** One place that two changes touch differently. */
export interface MergeConflict {
  /** Where in the document, such as `services.desk.lane`. */
  readonly path: string;
  /** What stood there before both changes; absent where nothing did. */
  readonly base?: unknown;
  /** What the change that came later wants; absent where it removes the value. */
  readonly ours?: unknown;
  /** What is in force by the change that came first; absent where it removed the value. */
  readonly theirs?: unknown;
}

/** A merged value, with the places that could not be merged. */
export interface Merge {
  readonly value: unknown;
  readonly conflicts: readonly MergeConflict[];
}

/**
 * Merges two changes of one JSON document. Objects are merged by key; arrays and scalars are taken whole,
 * since the parts of an array have no names to tell them by.
 *
 * @param base The document that both changes began from.
 * @param sides What each change made of it.
 * @returns The merged document; where both touch the same place differently, a conflict.
 *
 * @example
 * ```ts
 * const base = { a: 1, b: 1 };
 * mergeThreeWay(base, { ours: { a: 2, b: 1 }, theirs: { a: 1, b: 3 } }).value; // { a: 2, b: 3 }
 * ```
 */
export function mergeThreeWay(
  base: unknown,
  sides: { readonly ours: unknown; readonly theirs: unknown },
): Merge {
  return mergeAt("", { base, ...sides });
}

interface Sides {
  readonly base: unknown;
  readonly ours: unknown;
  readonly theirs: unknown;
}

function mergeAt(path: string, { base, ours, theirs }: Sides): Merge {
  if (isDeepStrictEqual(ours, theirs) || isDeepStrictEqual(ours, base)) {
    return { value: theirs, conflicts: [] };
  }
  if (isDeepStrictEqual(theirs, base)) return { value: ours, conflicts: [] };
  if (isObject(ours) && isObject(theirs)) {
    return mergeObjects(path, { base: isObject(base) ? base : {}, ours, theirs });
  }
  return { value: theirs, conflicts: [conflictAt(path, { base, ours, theirs })] };
}

function mergeObjects(
  path: string,
  sides: Readonly<Record<keyof Sides, Readonly<Record<string, unknown>>>>,
): Merge {
  const { base, ours, theirs } = sides;
  const keys = new Set([...Object.keys(theirs), ...Object.keys(ours)]);
  const value: Record<string, unknown> = {};
  const conflicts: MergeConflict[] = [];
  for (const key of keys) {
    const merged = mergeAt(path === "" ? key : `${path}.${key}`, {
      base: base[key],
      ours: ours[key],
      theirs: theirs[key],
    });
    conflicts.push(...merged.conflicts);
    if (merged.value !== undefined) value[key] = merged.value;
  }
  return { value, conflicts };
}

function conflictAt(path: string, { base, ours, theirs }: Sides): MergeConflict {
  return {
    path,
    ...(base === undefined ? {} : { base }),
    ...(ours === undefined ? {} : { ours }),
    ...(theirs === undefined ? {} : { theirs }),
  };
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
