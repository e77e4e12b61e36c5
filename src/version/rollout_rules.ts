/**
 * Which versions of a service's workers may be given requests, and how an order to change them ends once.
 *
 * Whoever has the duty may die, be frozen or be cut off at any moment, a write may be done late, and the operator may
 * change the order meanwhile. So what was said of an order stands in one object of the store, is changed only over the
 * version that was read, and an end is final: a later holder goes on from what stands there.
 *
 * @module
 */
import { RolloutState } from "../interface/index.ts";
import type { RolloutEntry, RolloutStatus } from "../interface/index.ts";

/** What can be switched off in the specification to show that it is needed. */
export interface RolloutRules {
  /** An end of an order isn't followed by another one. */
  readonly endOnce: boolean;
  /** What is said is said only over the entry that was read. */
  readonly expectVersion: boolean;
  /** What was said of an earlier order says nothing of this one. */
  readonly matchOrder: boolean;
}

/** All rules in force. */
export const ALL_ROLLOUT_RULES: RolloutRules = {
  endOnce: true,
  expectVersion: true,
  matchOrder: true,
};

/** How far the order has come; undefined where nothing was said of it yet. */
export function stateOfOrder(
  { order, status }: RolloutEntry,
  rules: RolloutRules = ALL_ROLLOUT_RULES,
): RolloutState | undefined {
  if (status === undefined) return undefined;
  return status.to === order.to || !rules.matchOrder ? status.state : undefined;
}

/** Whether nothing follows on what was said of an order. */
export function isFinal(state: RolloutState | undefined): boolean {
  return state === RolloutState.Completed || state === RolloutState.RolledBack;
}

/** What is to be said next of an order of which this was decided; undefined where nothing is. */
export function nextStatus(
  entry: RolloutEntry,
  decided: RolloutState,
  rules: RolloutRules = ALL_ROLLOUT_RULES,
): RolloutStatus | undefined {
  const state = stateOfOrder(entry, rules);
  if (state === decided) return undefined;
  if (isFinal(state) && rules.endOnce) return undefined;
  return { state: decided, to: entry.order.to };
}

/** The versions of a service's workers that may be given requests. */
export interface ServedVersions {
  /** Takes all requests but those that try the other one. */
  readonly base: string;
  /** The version that an order under way names; undefined where there is none. */
  readonly tried: string | undefined;
}

/** How many workers there are of a version, and when the oldest of them started, in Unix milliseconds. */
export interface VersionStock {
  readonly workers: number;
  readonly oldest: number;
}

/** What the served versions follow from. */
export interface VersionsKnown {
  /** The workers that are there, by version. */
  readonly stock: ReadonlyMap<string, VersionStock>;
  /** The service's order, if there is any. */
  readonly entry: RolloutEntry | undefined;
  /** What this instance served before; undefined where it has just started. */
  readonly before: string | undefined;
  /** Versions that were rolled back. */
  readonly barred: ReadonlySet<string>;
}

/**
 * Finds the versions that are served.
 *
 * An instance that starts in the middle of an order knows nothing of before: what no order names is old, and of several
 * such versions the one with the most workers, since single entries may be forged.
 *
 * @returns Undefined where there are no workers to tell by.
 */
export function servedVersions(known: VersionsKnown): ServedVersions | undefined {
  const { entry, barred } = known;
  const state = entry === undefined ? undefined : stateOfOrder(entry);
  if (entry !== undefined && state === RolloutState.Completed) {
    return { base: entry.order.to, tried: undefined };
  }
  const base = baseVersion(known);
  if (base === undefined) return undefined;
  const named = entry?.order.to;
  const isTried =
    named !== undefined &&
    named !== base &&
    state !== RolloutState.RolledBack &&
    !barred.has(named);
  return { base, tried: isTried ? named : undefined };
}

function baseVersion({ stock, entry, before, barred }: VersionsKnown): string | undefined {
  const status = entry?.status;
  if (entry !== undefined && status?.state === RolloutState.Completed) return status.to;
  const isThere = before !== undefined && (stock.has(before) || entry !== undefined);
  if (isThere) return before;
  const old = [...stock].filter(([version]) => version !== entry?.order.to && !barred.has(version));
  // An order may name the version that is there already, or all others may be gone.
  const candidates = old.length > 0 ? old : [...stock].filter(([version]) => !barred.has(version));
  candidates.sort(([, a], [, b]) => b.workers - a.workers || a.oldest - b.oldest);
  return candidates[0]?.[0] ?? before;
}
