/**
 * Versions of the platform's store that keep increasing when the store is restored from a copy.
 *
 * A restored store assigns the revisions after the copy's once more. By revisions alone, everything that it contains
 * would look outdated until it exceeds the last known revision, and a conditional write could replace another object
 * that has been given the expected revision. A version therefore consists of the store's era, which is the number of its
 * restores, and the revision within the era.
 *
 * @module
 */

/** The era and the revision of which a version consists. */
export interface StoreMoment {
  /** How often the store has been restored from a copy, below 10,000; 0 if it doesn't count this. */
  readonly era: number;
  readonly revision: number;
}

/** The number of revisions per era: at 5,000 changes a second they last for three years. */
const REVISIONS_PER_ERA = 2 ** 39;

/** Returns the version of an era and a revision. Versions of a later era are higher than all of an earlier one. */
export function storeVersion({ era, revision }: StoreMoment): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** Returns the era of a version. */
export function eraOf(version: number): number {
  return Math.floor(version / REVISIONS_PER_ERA);
}

/** Returns the version that precedes all others of a version's era. */
export function startOfEra(version: number): number {
  return version - revisionOf(version);
}

/** Returns the revision within the era of a version. */
export function revisionOf(version: number): number {
  return version % REVISIONS_PER_ERA;
}
