import { MemberState } from "../interface/index.ts";
import type { Member, PeerHandlers } from "../interface/index.ts";
import type { MembershipView } from "../request/index.ts";
import { subscribe } from "./configuration.ts";

/** The task that keeps track of the entry instances. */
export interface Membership extends MembershipView {
  readonly handlers: Pick<PeerHandlers, "probe">;
  /** Tells everyone that this instance takes nothing new. */
  leave(): void;
  close(): void;
}

/** A membership of one: this instance. */
export function createMembership(self: Member): Membership {
  const listeners = new Set<() => void>();
  return {
    self,
    find: (id) => (id === self.id ? self : undefined),
    stateOf: (id) => (id === self.id ? MemberState.Alive : MemberState.Dead),
    alive: () => [self],
    onChange: (listener) => subscribe(listeners, listener),
    handlers: {
      probe: () => Promise.resolve({ from: self.id, reached: true, deltas: [], versions: [] }),
    },
    leave: () => undefined,
    close: () => listeners.clear(),
  };
}
