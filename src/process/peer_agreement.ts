import type { Clock } from "../interface/index.ts";
import type { PeerInstance } from "./peer.ts";
import type { WorkerView } from "./stream_inquiries.ts";

/** Dependencies of {@linkcode createPeerAgreement}. */
export interface PeerAgreementParts {
  readonly clock: Clock;
  /** The kind of object that is compared. */
  readonly kind: string;
  /** Returns the store version of this instance's last change of the kind. */
  readonly ownVersion: () => number;
  /** Returns the live instances that send digests to this one. */
  readonly peers: () => readonly Pick<PeerInstance, "receivedAt" | "versions">[];
}

/** Milliseconds for which a digest counts as recent: its interval, with one digest lost. */
const RECENT_TIME = 700;

/** Compares what this instance has of a kind of object with what other instances' digests state. */
export function createPeerAgreement(
  parts: PeerAgreementParts,
): Pick<WorkerView, "isCurrent" | "hasRecentDigest"> {
  const { clock, kind, ownVersion, peers } = parts;
  const recent = (): readonly Pick<PeerInstance, "versions">[] =>
    peers().filter(({ receivedAt }) => receivedAt >= clock.now() - RECENT_TIME);
  return {
    hasRecentDigest: () => recent().length > 0,
    isCurrent: () => {
      const known = recent().map(({ versions }) => versions.get(kind) ?? 0);
      return known.length > 0 && Math.max(...known) <= ownVersion();
    },
  };
}
