import { isDeepStrictEqual } from "node:util";

/** A value that two changes have modified differently. */
export interface MergeConflict {
  /** Path of the value in the document, such as `services.desk.lane`. */
  readonly path: string;
  /** The value before both changes; absent if there was none. */
  readonly base?: unknown;
  /** The value requested by the later change; absent if that change removes it. */
  readonly ours?: unknown;
  /** The active value, set by the earlier change; absent if that change has removed it. */
  readonly theirs?: unknown;
}

/** A merged value with the conflicts found. Where there is a conflict, the value is that of `theirs`. */
export interface Merge {
  readonly value: unknown;
  readonly conflicts: readonly MergeConflict[];
}

/**
 * Merges two changes of a JSON document. Objects are merged key by key. Arrays and scalars are treated as single values,
 * because array elements have no keys that identify them.
 *
 * @param base The document that both changes are based on.
 * @param sides The two changed documents.
 * @returns The merged document, and a conflict for each value that both have modified differently.
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

/** The base value and the two changed values at one path. */
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
