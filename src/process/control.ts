import type {
  Clock,
  Member,
  ObjectStore,
  PeerHandlers,
  Peers,
  Random,
} from "../interface/index.ts";
import type { RequestService } from "../request/index.ts";
import { createConfiguration } from "./configuration.ts";
import type { Configuration } from "./configuration.ts";
import { createMembership } from "./membership.ts";
import type { Membership } from "./membership.ts";
import { waitForSlotRelease } from "./slot_release.ts";
import { createSlotTask } from "./slot_task.ts";

/** Dependencies and settings of {@linkcode createControl}. */
export interface ControlParts {
  /** This instance as its peers see it. */
  readonly self: Member;
  /** Peer addresses of a few other entry instances, contacted to join the fleet. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly peers: Peers;
  /** Returns the request service. A function, because that service is created after the control tasks. */
  readonly requests: () => Pick<RequestService, "copyTo" | "isBackupReady">;
  /** Increments the counter with this name. */
  readonly count: (name: string) => void;
  /** Interval of the periodic fallback reads of the store, in milliseconds. */
  readonly reread?: number;
}

/** The tasks that keep an entry instance consistent with its peers: membership, active configuration and slot map. */
export interface Control {
  readonly members: Membership;
  readonly configuration: Configuration;
  /** Handlers for the peer messages of the control tasks. */
  readonly handlers: Pick<PeerHandlers, "probe" | "pull">;
  /** Starts all tasks. Resolves once a revision is known. */
  start(): Promise<void>;
  /** Resolves once the slot map no longer needs this instance, which is leaving. */
  whenReleased(): Promise<void>;
  /** Stops all tasks. */
  close(): void;
}

/** Creates the control tasks of an entry instance and connects them to each other. */
export function createControl(parts: ControlParts): Control {
  const { clock, store, count } = parts;
  const members: Membership = createMembership({
    ...parts,
    versions: () => configuration.versions(),
    receiveVersions: (from, versions) => configuration.receiveVersions(from, versions),
  });
  const configuration: Configuration = createConfiguration({
    ...parts,
    alive: () => members.alive(),
    lastPeerMessageAt: () => members.lastMessageAt(),
  });
  const slots = createSlotTask({
    clock,
    random: parts.random,
    store,
    configuration,
    members,
    requests: {
      copyTo: (moved, member) => parts.requests().copyTo(moved, member),
      isBackupReady: (slot, epoch) => parts.requests().isBackupReady(slot, epoch),
    },
    count,
  });
  // Sends a newly active version to peers immediately instead of with the next probe.
  const subscription = configuration.onChange(() => members.sendVersions());
  return {
    members,
    configuration,
    handlers: { ...members.handlers, pull: (key) => configuration.pull(key) },
    start: async () => {
      members.start();
      await configuration.start();
      slots.start();
    },
    whenReleased: () => waitForSlotRelease({ clock, configuration, members, count }),
    close: () => {
      subscription.close();
      slots.close();
      members.close();
      configuration.close();
    },
  };
}
