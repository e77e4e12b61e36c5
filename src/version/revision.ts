import { z } from "zod";
import { deploymentSchema } from "./deployment.ts";
import type { Deployment } from "./deployment.ts";

/** The store's key of a deployment's revision. */
export const REVISION_KEY = "samphireshore/revision";

/** The store's key of a region's slot map. */
export const SLOT_MAP_KEY = "samphireshore/slots";

/** How many change ids a revision remembers, so that a write whose answer was lost is recognised. */
const REMEMBERED_CHANGES = 64;

/**
 * The whole configuration in force. One object, so exactly one preset is in force and operators who race
 * are put in order by the store.
 */
export interface Revision {
  /** The store's version of the object; 0 where none has been read. */
  readonly version: number;
  readonly deployment: Deployment;
  /** The deployment as its file has it, to show and to merge. */
  readonly source: unknown;
  /** The one preset in force. */
  readonly preset: string;
  /** Ids of the latest changes, newest first. */
  readonly changes: readonly string[];
}

const stored = z.strictObject({
  source: z.unknown(),
  preset: z.string(),
  changes: z.array(z.string()),
});

/**
 * Reads a revision from the store's value.
 *
 * @param version The store's version of the object.
 * @param value The store's value, JSON.
 * @returns The revision.
 * @throws {Error} If the value is not a revision.
 */
export function parseRevision(version: number, value: string): Revision {
  const { source, preset, changes } = stored.parse(JSON.parse(value));
  return { version, deployment: deploymentSchema.parse(source), source, preset, changes };
}

/** The store's value of a revision. */
export function formatRevision(revision: Omit<Revision, "version" | "deployment">): string {
  const { source, preset, changes } = revision;
  return JSON.stringify({ source, preset, changes: changes.slice(0, REMEMBERED_CHANGES) });
}

/**
 * Chooses between the revision in force and one that was heard of.
 *
 * @returns The one with the higher version: a revision never reverts, whoever says so.
 */
export function laterRevision(inForce: Revision | undefined, heard: Revision): Revision {
  return inForce !== undefined && inForce.version >= heard.version ? inForce : heard;
}
