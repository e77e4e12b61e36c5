import { MemberState } from "../interface/index.ts";
import type { Clock, Member } from "../interface/index.ts";
import type { RequestService } from "../request/index.ts";
import type { SlotFleet } from "../version/index.ts";
import type { Membership } from "./membership.ts";

/**
 * Milliseconds for which a leaving primary alone may have its backups promoted. It needs some of
 * them to give a new backup the records that it lacks.
 */
const LEAVING_PRIMARY_TIME = 2_000;

/** Dependencies of {@linkcode createSlotFleetView}. */
export interface SlotFleetParts {
  readonly clock: Clock;
  readonly members: Pick<Membership, "self" | "alive" | "present" | "stateOf">;
  readonly requests: Pick<RequestService, "isBackupReady">;
}

/**
 * Creates a function that returns the members that matter for slot assignments, as known now.
 *
 * A primary that is leaving knows whether its backups have the whole history, so it has them
 * promoted itself. The others do so only if it has not within {@linkcode LEAVING_PRIMARY_TIME}.
 */
export function createSlotFleetView(parts: SlotFleetParts): () => SlotFleet {
  const { clock, members, requests } = parts;
  /** When a present member was first seen as not eligible any more. */
  const ineligibleSince = new Map<string, number>();
  const updateIneligible = (present: readonly Member[], eligible: ReadonlySet<string>): void => {
    const ids = present.map(({ id }) => id).filter((id) => !eligible.has(id));
    for (const id of ineligibleSince.keys()) if (!ids.includes(id)) ineligibleSince.delete(id);
    for (const id of ids) if (!ineligibleSince.has(id)) ineligibleSince.set(id, clock.now());
  };
  return () => {
    const present = members.present();
    const alive = members.alive();
    const leavingZones = zonesUnderNotice(members, present);
    const outsideLeavingZones = alive.filter(({ zone }) => !leavingZones.has(zone));
    const eligible = outsideLeavingZones.length > 0 ? outsideLeavingZones : alive;
    updateIneligible(present, new Set(eligible.map(({ id }) => id)));
    return {
      eligible,
      present: new Set(present.map(({ id }) => id)),
      canReplacePrimary: (slot, { primary, epoch }) => {
        const since = ineligibleSince.get(primary) ?? clock.now();
        if (clock.now() - since >= LEAVING_PRIMARY_TIME) return true;
        return primary === members.self.id && requests.isBackupReady(slot, epoch);
      },
    };
  };
}

/**
 * Returns the zones in which most instances are leaving. The rest is likely to follow, so no slots
 * are moved there.
 */
function zonesUnderNotice(
  members: SlotFleetParts["members"],
  present: readonly Member[],
): ReadonlySet<string> {
  const leaving = present.filter(({ id }) => members.stateOf(id) === MemberState.Leaving);
  const zones = new Set(leaving.map(({ zone }) => zone));
  return new Set(
    [...zones].filter((zone) => {
      const all = present.filter((member) => member.zone === zone).length;
      return 2 * leaving.filter((member) => member.zone === zone).length > all;
    }),
  );
}
