import type { Clock } from "../interface/index.ts";
import { ownersOf } from "../version/index.ts";
import type { Configuration } from "./configuration.ts";
import type { Membership } from "./membership.ts";

/**
 * Maximum time in milliseconds that a planned stop waits until the slot map no longer needs this
 * instance. Without the store the map can't change, and the backups serve the slots meanwhile.
 */
const RELEASE_TIMEOUT = 10_000;

/** Dependencies of {@linkcode waitForSlotRelease}. */
export interface SlotReleaseParts {
  readonly clock: Clock;
  readonly configuration: Pick<Configuration, "slotMap" | "onChange">;
  readonly members: Pick<Membership, "self" | "alive" | "onChange">;
  readonly count: (name: string) => void;
}

/**
 * Resolves once the slot map names other instances in place of this one, which is leaving, or after
 * {@linkcode RELEASE_TIMEOUT}.
 *
 * If this process ended earlier, the other instance of each of its slots would be the only one. If
 * that one is replaced next, the slots' histories are lost.
 */
export function waitForSlotRelease(parts: SlotReleaseParts): Promise<void> {
  const { clock, configuration, members, count } = parts;
  return new Promise((resolve) => {
    const end = (): void => {
      for (const wait of waits) wait.close();
      resolve();
    };
    const check = (): void => {
      if (isReleased(parts)) end();
    };
    const onTimeout = (): void => {
      count("slots.release-timeout");
      end();
    };
    const waits = [
      members.onChange(check),
      configuration.onChange(check),
      clock.after(RELEASE_TIMEOUT, onTimeout),
    ];
    check();
  });
}

function isReleased({ configuration, members }: SlotReleaseParts): boolean {
  const map = configuration.slotMap();
  // An instance that never had a peer doesn't wait for one. Others do: a peer may be restarting.
  if (ownersOf(map).size <= 1) return true;
  const self = members.self.id;
  const others = members.alive().filter(({ id }) => id !== self);
  // A single other instance has no other backup than this one.
  const mayBeBackup = others.length === 1;
  return map.slots.every(
    ({ primary, backup }) => primary !== self && (mayBeBackup || backup !== self),
  );
}
