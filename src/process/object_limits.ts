/**
 * Limits on what one object of the store may hold.
 *
 * Any client may write to the store. `JSON.parse` reads any nesting, but `JSON.stringify` and other recursive functions
 * exceed the stack on some thousand levels, and the exception ends the process wherever the object is passed on. Large
 * objects fill the memory and the datagrams between instances. So every object is checked once, where it enters the
 * instance (the client of the store, and the follower for what other instances send), by a function whose depth has a limit.
 *
 * @module
 */
import type { FeedObject } from "../interface/index.ts";
import { ObjectExcess } from "../interface/index.ts";

/** The most that the value and the status of an object may hold. */
export interface ObjectLimits {
  /** Maximum number of nested arrays and objects. */
  readonly depth: number;
  /** Maximum size in characters: a lower bound of the length of the JSON text. */
  readonly size: number;
}

/** Size in bytes of the largest object that the store accepts, all of its fields together. */
const MAX_STORED_SIZE = 1_048_576;
/** A configuration nests objects to 5 levels and a worker's entry to 4; later versions may add some. */
const MAX_DEPTH = 32;

/** Limits of objects of which there are few, such as the configuration. They may be as large as the store allows. */
export const DOCUMENT_LIMITS: ObjectLimits = { depth: MAX_DEPTH, size: MAX_STORED_SIZE };
/**
 * Limits of an object of which there are many. A worker's entry has about 300 characters. The entries of the 4,600
 * workers that the design is meant for fit into memory even if all have the maximum size, and one fits into a digest.
 */
export const ENTRY_LIMITS: ObjectLimits = { depth: MAX_DEPTH, size: MAX_STORED_SIZE / 64 };
/** Maximum length of an object's name in UTF-16 code units. Instances send at most 256 of them as a header. */
export const MAX_NAME_LENGTH = 1_024;
/** A surrogate without its counterpart. Text with one can't be encoded as UTF-8. */
const LONE_SURROGATE = /\p{Surrogate}/u;
const REPLACEMENT_CHARACTER = "\ufffd";

/** Whether an object with this name can be followed. */
export function isUsableName(name: string): boolean {
  return name.length <= MAX_NAME_LENGTH && !LONE_SURROGATE.test(name);
}

/** Returns text that can be encoded as UTF-8. */
export function replaceLoneSurrogates(text: string): string {
  return text.replaceAll(new RegExp(LONE_SURROGATE, "gu"), REPLACEMENT_CHARACTER);
}

/**
 * Returns the object, or one without a value if it exceeds the limits. The object itself remains, so that its versions
 * are followed like those of the others.
 */
export function limitObject(object: FeedObject, limits: ObjectLimits): FeedObject {
  const excess = excessOf([object.value, object.status], limits);
  if (excess === undefined) return object;
  const { name, version } = object;
  return { name, version, value: null, excess };
}

/** Returns which limit the values, as decoded from JSON, exceed together. */
function excessOf(values: readonly unknown[], limits: ObjectLimits): ObjectExcess | undefined {
  // The list of the values is a level of its own.
  const rest = sizeLeft(values, limits.size, limits.depth + 1);
  if (rest >= 0) return undefined;
  return rest === TOO_DEEP ? ObjectExcess.Depth : ObjectExcess.Size;
}

/** Result of {@linkcode sizeLeft} for a value that is nested too deeply. */
const TOO_DEEP = -Infinity;

/** Returns what a value leaves of a size; negative if it exceeds it. It calls itself up to the given depth only. */
function sizeLeft(value: unknown, size: number, depth: number): number {
  // With two quotes.
  if (typeof value === "string") return size - value.length - 2;
  if (typeof value !== "object" || value === null) return size - 1;
  if (depth === 0) return TOO_DEEP;
  let left = size - 1;
  if (Array.isArray(value)) {
    for (const element of value) {
      left = sizeLeft(element, left, depth - 1);
      if (left < 0) return left;
    }
    return left;
  }
  const fields = value as Readonly<Record<string, unknown>>;
  for (const name of Object.keys(fields)) {
    // With two quotes and a colon.
    left = sizeLeft(fields[name], left - name.length - 3, depth - 1);
    if (left < 0) return left;
  }
  return left;
}
