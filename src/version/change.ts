import type { z } from "zod";
import { deploymentSchema } from "./deployment.ts";
import { formatRevision } from "./revision.ts";
import type { Revision } from "./revision.ts";
import { mergeThreeWay } from "./three_way_merge.ts";
import type { MergeConflict } from "./three_way_merge.ts";

/** What an operator asks to have changed. */
export type Change =
  /** Puts a whole deployment document in force. */
  | { readonly kind: "deployment"; readonly id: string; readonly source: unknown }
  /** Puts a preset in force. */
  | { readonly kind: "preset"; readonly id: string; readonly preset: string };

/** How a change ended; never one of them for another. */
export type ChangeOutcome =
  /** In force from the given revision at the latest. */
  | { readonly kind: "accepted"; readonly change: string; readonly revision: number }
  /** Certainly not in force, now or later. */
  | { readonly kind: "refused"; readonly change: string; readonly reasons: readonly string[] }
  /** Certainly not in force: another change touches the same places. */
  | {
      readonly kind: "conflict";
      readonly change: string;
      readonly revision: number;
      readonly conflicts: readonly MergeConflict[];
    }
  /** The answer was lost, and the store can't be asked: ask again with the change's id. */
  | { readonly kind: "unknown"; readonly change: string; readonly detail: string };

/** What is to be written for a change, or how it ended without a write. */
export type PlannedChange =
  | { readonly kind: "write"; readonly value: string }
  | { readonly kind: "ended"; readonly outcome: ChangeOutcome };

/** Path under which a conflict over the preset in force is shown. */
const PRESET_PATH = "preset in force";

/**
 * Works out what to write for a change.
 *
 * @param change What the operator asks for.
 * @param sides The revision that the operator's change began from, and the one that the store holds now.
 * @returns The store's new value, or the outcome where there is nothing to write: the change is in force
 * already, is refused by its content, or touches what another change has touched since.
 */
export function planChange(
  change: Change,
  sides: { readonly base: Revision; readonly current: Revision },
): PlannedChange {
  const { base, current } = sides;
  const accepted: ChangeOutcome = {
    kind: "accepted",
    change: change.id,
    revision: current.version,
  };
  // The write stands although its answer was lost.
  if (current.changes.includes(change.id)) return { kind: "ended", outcome: accepted };
  const wanted = change.kind === "deployment" ? change.source : current.source;
  const merge = mergeThreeWay(base.source, { ours: wanted, theirs: current.source });
  const preset = mergeThreeWay(base.preset, {
    ours: change.kind === "preset" ? change.preset : base.preset,
    theirs: current.preset,
  });
  const onPreset = preset.conflicts.map((found) => ({ ...found, path: PRESET_PATH }));
  const conflicts = [...merge.conflicts, ...onPreset];
  if (conflicts.length > 0) {
    const revision = current.version;
    const outcome: ChangeOutcome = { kind: "conflict", change: change.id, revision, conflicts };
    return { kind: "ended", outcome };
  }
  return checked(change, { source: merge.value, preset: String(preset.value), current });
}

function checked(
  change: Change,
  { source, preset, current }: { source: unknown; preset: string; current: Revision },
): PlannedChange {
  const reasons = faultsOf(source, preset);
  if (reasons.length > 0) {
    return { kind: "ended", outcome: { kind: "refused", change: change.id, reasons } };
  }
  const changes = [change.id, ...current.changes];
  return { kind: "write", value: formatRevision({ source, preset, changes }) };
}

function faultsOf(source: unknown, preset: string): readonly string[] {
  const parsed = deploymentSchema.safeParse(source);
  if (!parsed.success) return parsed.error.issues.map(describe);
  if (preset in parsed.data.presets) return [];
  const known = Object.keys(parsed.data.presets).join(", ");
  return [`The preset "${preset}" is not among those of the document, which are ${known}.`];
}

function describe(issue: z.core.$ZodIssue): string {
  const path = issue.path.map(String).join(".");
  return path === "" ? issue.message : `${path}: ${issue.message}`;
}
