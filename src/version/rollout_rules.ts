/**
 * Rules for which versions of a service's workers may get requests, and for ending a rollout order exactly once.
 *
 * The lease holder that runs a rollout may crash, be suspended or lose its connections at any moment. A write may take
 * effect late, and the operator may change the order meanwhile. The status of an order is therefore kept in one object
 * of the store and written only over the version that was read. A final status is never replaced, and a later holder
 * continues from the stored status.
 *
 * @module
 */
import { RolloutState } from "../interface/index.ts";
import type { RolloutEntry, RolloutStatus } from "../interface/index.ts";

/** Rules that the model checker can switch off one at a time to show that each one is needed. */
export interface RolloutRules {
  /** The final status of an order is never replaced. */
  readonly endOnce: boolean;
  /** A status is written only if the entry still has the version that was read. */
  readonly expectVersion: boolean;
  /** The status of an earlier order does not apply to the current one. */
  readonly matchOrder: boolean;
}

/** All rules enabled, as in production. */
export const ALL_ROLLOUT_RULES: RolloutRules = {
  endOnce: true,
  expectVersion: true,
  matchOrder: true,
};

/** Returns the state of the current order; undefined if no status has been written for it yet. */
export function stateOfOrder(
  { order, status }: RolloutEntry,
  rules: RolloutRules = ALL_ROLLOUT_RULES,
): RolloutState | undefined {
  if (status === undefined) return undefined;
  return status.to === order.to || !rules.matchOrder ? status.state : undefined;
}

/** Returns whether a state is final. */
export function isFinalRolloutState(state: RolloutState | undefined): boolean {
  return state === RolloutState.Completed || state === RolloutState.RolledBack;
}

/** Returns the status to write for an order after a decision; undefined if there is nothing to write. */
export function nextStatus(
  entry: RolloutEntry,
  decided: RolloutState,
  rules: RolloutRules = ALL_ROLLOUT_RULES,
): RolloutStatus | undefined {
  const state = stateOfOrder(entry, rules);
  if (state === decided) return undefined;
  if (isFinalRolloutState(state) && rules.endOnce) return undefined;
  return { state: decided, to: entry.order.to };
}

/** The versions of a service's workers that may get requests. */
export interface ServedVersions {
  /** The version that gets all requests except those that try the new version. */
  readonly base: string;
  /** The new version of a running order; undefined if there is none. */
  readonly tried: string | undefined;
}

/** The workers of one version. */
export interface VersionWorkers {
  /** The number of workers. */
  readonly workers: number;
  /** When the oldest of them started, in Unix milliseconds. */
  readonly oldest: number;
}

/** The input for {@linkcode servedVersions}. */
export interface ServedVersionsInput {
  /** The available workers, by version. */
  readonly workersByVersion: ReadonlyMap<string, VersionWorkers>;
  /** The service's rollout order, if there is one. */
  readonly entry: RolloutEntry | undefined;
  /** The base version that this instance served until now; undefined after a start. */
  readonly previousBase: string | undefined;
  /** Versions that were rolled back; they get no requests. */
  readonly rolledBack: ReadonlySet<string>;
}

/**
 * Determines the versions that may get requests.
 *
 * An instance that starts during an order has no previous base version. It then takes a version that the order
 * doesn't name. If there are several, it takes the one with the most workers, since single entries in the store may be
 * forged.
 *
 * @returns The versions, or undefined if there are no workers to determine them from.
 */
export function servedVersions(input: ServedVersionsInput): ServedVersions | undefined {
  const { entry, rolledBack } = input;
  const state = entry === undefined ? undefined : stateOfOrder(entry);
  if (entry !== undefined && state === RolloutState.Completed) {
    return { base: entry.order.to, tried: undefined };
  }
  const base = baseVersion(input);
  if (base === undefined) return undefined;
  const ordered = entry?.order.to;
  const isTried =
    ordered !== undefined &&
    ordered !== base &&
    state !== RolloutState.RolledBack &&
    !rolledBack.has(ordered);
  return { base, tried: isTried ? ordered : undefined };
}

function baseVersion({
  workersByVersion,
  entry,
  previousBase,
  rolledBack,
}: ServedVersionsInput): string | undefined {
  const status = entry?.status;
  if (entry !== undefined && status?.state === RolloutState.Completed) return status.to;
  const canKeepBase =
    previousBase !== undefined && (workersByVersion.has(previousBase) || entry !== undefined);
  if (canKeepBase) return previousBase;
  const old = [...workersByVersion].filter(
    ([version]) => version !== entry?.order.to && !rolledBack.has(version),
  );
  // The order names the only available version, because it was served before or because all other workers are gone.
  const candidates =
    old.length > 0 ? old : [...workersByVersion].filter(([version]) => !rolledBack.has(version));
  candidates.sort(([, a], [, b]) => b.workers - a.workers || a.oldest - b.oldest);
  return candidates[0]?.[0] ?? previousBase;
}
