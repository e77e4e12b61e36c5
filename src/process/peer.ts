import { UpdateScope } from "./digest.ts";
import type { InstanceState, RosterEntry } from "./digest.ts";
import type { RunningTime } from "./running_time.ts";

/** Another instance, as described by its last digest. */
export interface PeerInstance extends RosterEntry, InstanceState {
  /** Identifies the process among all that have run under the same name. */
  readonly incarnation: string;
  /** When its last digest arrived, in milliseconds of the local clock. */
  readonly receivedAt: number;
}

/** State of the exchange with the process at an address. */
export interface Peer {
  readonly address: string;
  receivedAt: number;
  isLive: boolean;
  /** When it was last marked as lost, in milliseconds of the local clock. */
  lostAt: number;
  instance: PeerInstance | undefined;
  session: number;
  lastSequence: number;
  /** Sequence number of the last digest from it whose update or roster was applied. */
  updateSequence: number;
  /** Scope of the last update from it. */
  scope: UpdateScope;
  /** Whether it expects a digest in return. */
  expectsDigest: boolean;
  /** Whether it applies this instance's updates. */
  wantsUpdate: boolean;
  /** Whether its digests name this instance's current session. */
  acknowledgesSession: boolean;
  /** The last round of this instance that it acknowledged. */
  acknowledgedRound: number;
  /** Kind of update that is sent to it, and the round since which it has been this kind. */
  updateKind: string;
  updateKindSince: number;
}

/** A time before all others, for events that have not happened. */
export const NEVER = -Infinity;

/**
 * Milliseconds of running time without a digest after which an instance counts as lost. Four digests
 * in a row are almost never lost by packet loss alone.
 */
const LIVENESS_TIMEOUT = 1_100;

/** Whether a digest from the peer has arrived recently enough. A stall of this process says nothing about the peer. */
export function isResponding(
  { receivedAt }: Peer,
  {
    now,
    runningTime,
  }: { readonly now: number; readonly runningTime: Pick<RunningTime, "between"> },
): boolean {
  return runningTime.between(receivedAt, now) <= LIVENESS_TIMEOUT;
}

/** Returns the id of a process: the instance's name and the session in hexadecimal. */
export function incarnationOf(name: string, session: number): string {
  return `${name}/${session.toString(16).padStart(8, "0")}`;
}

/** Creates the state for an address from which no digest has arrived. */
export function createPeer(address: string): Peer {
  return {
    address,
    receivedAt: NEVER,
    isLive: false,
    lostAt: NEVER,
    instance: undefined,
    session: 0,
    lastSequence: 0,
    updateSequence: 0,
    scope: UpdateScope.None,
    expectsDigest: false,
    wantsUpdate: true,
    acknowledgesSession: false,
    acknowledgedRound: 0,
    updateKind: "",
    updateKindSince: 0,
  };
}
