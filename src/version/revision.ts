import { z } from "zod";
import { deploymentSchema } from "./deployment.ts";
import type { Deployment } from "./deployment.ts";

/** The store key of the deployment's revision. */
export const REVISION_KEY = "samphireshore/revision";

/** The store key of the region's slot map. */
export const SLOT_MAP_KEY = "samphireshore/slots";

/** The number of change ids kept in a revision. They show whether a write whose response was lost took effect. */
const MAX_CHANGE_IDS = 64;

/**
 * The complete active configuration. It is a single object in the store, so exactly one preset is active and the store
 * serializes concurrent changes.
 */
export interface Revision {
  /** The store's version of the object; 0 if none has been read. */
  readonly version: number;
  readonly deployment: Deployment;
  /** The deployment document as written, for display and for merges. */
  readonly source: unknown;
  /** The name of the active preset. */
  readonly preset: string;
  /** Ids of the most recent changes, newest first. */
  readonly changes: readonly string[];
}

const stored = z.strictObject({
  source: z.unknown(),
  preset: z.string(),
  changes: z.array(z.string()),
});

/**
 * Parses a revision from its value in the store.
 *
 * @param version The store's version of the object.
 * @param value The value in the store, as JSON.
 * @returns The revision.
 * @throws {Error} If the value is not a revision.
 */
export function parseRevision(version: number, value: string): Revision {
  const { source, preset, changes } = stored.parse(JSON.parse(value));
  return { version, deployment: deploymentSchema.parse(source), source, preset, changes };
}

/** Serializes a revision for the store. */
export function formatRevision(revision: Omit<Revision, "version" | "deployment">): string {
  const { source, preset, changes } = revision;
  return JSON.stringify({ source, preset, changes: changes.slice(0, MAX_CHANGE_IDS) });
}

/**
 * Chooses between the active revision and a received one.
 *
 * @returns The one with the higher version. A revision is never replaced by an older one, whatever its source.
 */
export function laterRevision(active: Revision | undefined, received: Revision): Revision {
  return active !== undefined && active.version >= received.version ? active : received;
}
