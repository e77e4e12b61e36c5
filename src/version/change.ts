import type { z } from "zod";
import { deploymentSchema } from "./deployment.ts";
import { formatRevision } from "./revision.ts";
import type { Revision } from "./revision.ts";
import { mergeThreeWay } from "./three_way_merge.ts";
import type { MergeConflict } from "./three_way_merge.ts";

/** A configuration change requested by an operator. Its id identifies it when it is sent again. */
export type Change =
  /** Replaces the deployment document. */
  | { readonly kind: "deployment"; readonly id: string; readonly source: unknown }
  /** Activates a preset. */
  | { readonly kind: "preset"; readonly id: string; readonly preset: string };

/** The outcome of a change. `unknown` is the only one that leaves open whether the change is active. */
export type ChangeOutcome =
  /** The change is part of this revision, and possibly of an earlier one. */
  | { readonly kind: "accepted"; readonly change: string; readonly revision: number }
  /** The change is invalid and will never be active. */
  | { readonly kind: "refused"; readonly change: string; readonly reasons: readonly string[] }
  /** The change is not active: another change has modified the same values differently. */
  | {
      readonly kind: "conflict";
      readonly change: string;
      readonly revision: number;
      readonly conflicts: readonly MergeConflict[];
    }
  /** The response to the write was lost and the store can't be read. Send the change again with the same id. */
  | { readonly kind: "unknown"; readonly change: string; readonly detail: string };

/** The revision to write for a change, or the outcome of a change that needs no write. */
export type PlannedChange =
  | { readonly kind: "write"; readonly value: string }
  | { readonly kind: "ended"; readonly outcome: ChangeOutcome };

/** The path that is reported for a conflict over the active preset. */
const PRESET_PATH = "preset in force";

/**
 * Computes the revision to write for a change.
 *
 * @param change The requested change.
 * @param revisions The revision that the change is based on, and the revision that is now in the store.
 * @returns The new value for the store, or an outcome if there is nothing to write: the change is already active, it
 * is invalid, or it conflicts with a change made since the base revision.
 */
export function planChange(
  change: Change,
  revisions: { readonly base: Revision; readonly current: Revision },
): PlannedChange {
  const { base, current } = revisions;
  const accepted: ChangeOutcome = {
    kind: "accepted",
    change: change.id,
    revision: current.version,
  };
  // An earlier write of this change has taken effect, although its response was lost.
  if (current.changes.includes(change.id)) return { kind: "ended", outcome: accepted };
  const requestedSource = change.kind === "deployment" ? change.source : current.source;
  const merge = mergeThreeWay(base.source, { ours: requestedSource, theirs: current.source });
  const preset = mergeThreeWay(base.preset, {
    ours: change.kind === "preset" ? change.preset : base.preset,
    theirs: current.preset,
  });
  const presetConflicts = preset.conflicts.map((found) => ({ ...found, path: PRESET_PATH }));
  const conflicts = [...merge.conflicts, ...presetConflicts];
  if (conflicts.length > 0) {
    const revision = current.version;
    const outcome: ChangeOutcome = { kind: "conflict", change: change.id, revision, conflicts };
    return { kind: "ended", outcome };
  }
  return validate(change, { source: merge.value, preset: String(preset.value), current });
}

function validate(
  change: Change,
  { source, preset, current }: { source: unknown; preset: string; current: Revision },
): PlannedChange {
  const reasons = validationErrors(source, preset);
  if (reasons.length > 0) {
    return { kind: "ended", outcome: { kind: "refused", change: change.id, reasons } };
  }
  const changes = [change.id, ...current.changes];
  return { kind: "write", value: formatRevision({ source, preset, changes }) };
}

function validationErrors(source: unknown, preset: string): readonly string[] {
  const parsed = deploymentSchema.safeParse(source);
  if (!parsed.success) return parsed.error.issues.map(describe);
  if (preset in parsed.data.presets) return [];
  const known = Object.keys(parsed.data.presets).join(", ");
  return [`The preset "${preset}" is not among those of the document: ${known}.`];
}

function describe(issue: z.core.$ZodIssue): string {
  const path = issue.path.map(String).join(".");
  return path === "" ? issue.message : `${path}: ${issue.message}`;
}
