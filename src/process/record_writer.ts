import { selectRecordWriter } from "../decision/index.ts";
import { hashText } from "../version/index.ts";
import type { RosterEntry } from "./digest.ts";

/** The instance that writes records of streams to the store, for this instance and others. */
export interface RecordWriter {
  /** Returns the other instance that writes for this one; undefined if this one does. */
  other(): RosterEntry | undefined;
  /** Returns the name of the group of instances for which it writes: the fleet if it is small, or a zone. */
  group(): string;
}

/** Dependencies of {@linkcode createRecordWriter}. */
export interface RecordWriterParts {
  /** This instance's address for other instances, and its zone. */
  readonly self: { readonly peers: string; readonly zone: string };
  /** Returns the other live instances. */
  readonly instances: () => readonly RosterEntry[];
  /** Whether every instance exchanges digests with every other. */
  readonly isSmallFleet: () => boolean;
}

/** Name of the group that contains all instances of a small fleet. */
const WHOLE_FLEET = "all";

/** Creates the selection. The writer is selected again only when the live instances change. */
export function createRecordWriter({
  self,
  instances,
  isSmallFleet,
}: RecordWriterParts): RecordWriter {
  // A zone may have a name that the store doesn't take.
  const zoneGroup = `zone-${hashText(self.zone).toString(16)}`;
  let selected: RosterEntry | undefined;
  /** The sessions of the instances from which it was selected. */
  let selectedFrom: string | undefined;
  return {
    other: () => {
      const members = instances().filter(({ zone }) => isSmallFleet() || zone === self.zone);
      const sessions = members.map(({ session }) => session).join();
      if (sessions === selectedFrom) return selected;
      selectedFrom = sessions;
      const writer = selectRecordWriter([self, ...members]);
      selected = members.find((member) => member === writer);
      return selected;
    },
    group: () => (isSmallFleet() ? WHOLE_FLEET : zoneGroup),
  };
}
