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
import { createSlotTask } from "./slot_task.ts";

/** What the control tasks of an entry instance are made with. */
export interface ControlParts {
  readonly self: Member;
  /** Addresses of a few other entry instances, to join by. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly peers: Peers;
  /** Asked for late: the requests are made with what is made here. */
  readonly requests: () => Pick<RequestService, "copyTo">;
  readonly count: (name: string) => void;
  /** Milliseconds between slow rereads of the store. */
  readonly reread?: number;
}

/** The tasks by which entry instances agree: members, configuration in force, slot map. */
export interface Control {
  readonly members: Membership;
  readonly configuration: Configuration;
  readonly handlers: Pick<PeerHandlers, "probe" | "pull">;
  /** Resolves once a revision is known. */
  start(): Promise<void>;
  close(): void;
}

/** Puts the control tasks of an entry instance together. */
export function createControl(parts: ControlParts): Control {
  const { clock, store, count } = parts;
  const members: Membership = createMembership({
    ...parts,
    versions: () => configuration.versions(),
    hearVersions: (from, marks) => configuration.hearVersions(from, marks),
  });
  const configuration: Configuration = createConfiguration({
    ...parts,
    alive: () => members.alive(),
    peerHeardAt: () => members.heardAt(),
  });
  const slots = createSlotTask({
    clock,
    random: parts.random,
    store,
    configuration,
    members,
    requests: { copyTo: (moved, member) => parts.requests().copyTo(moved, member) },
    count,
  });
  // A version that has just come into force here is passed on at once and not with the next probe.
  const spreading = configuration.onChange(() => members.spreadVersions());
  return {
    members,
    configuration,
    handlers: { ...members.handlers, pull: (key) => configuration.pull(key) },
    start: async () => {
      members.start();
      await configuration.start();
      slots.start();
    },
    close: () => {
      spreading.close();
      slots.close();
      members.close();
      configuration.close();
    },
  };
}
