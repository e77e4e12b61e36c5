import type { QuotaStatus } from "../decision/index.ts";
import type { Route } from "../version/index.ts";
import type { PeerInstance } from "./peer.ts";
import type { RosterEntry } from "./digest.ts";
import type { CrashRecord } from "./crash_record.ts";
import type { RoutedStatus } from "./routed_status.ts";

/**
 * Returns the status of the other instances, for operators.
 *
 * @param now The clock's time, in milliseconds.
 */
export function instanceStatuses(
  fleet: { live(): readonly RosterEntry[]; directPeers(): readonly PeerInstance[] },
  now: number,
): RoutedStatus["instances"] {
  const peerBySession = new Map(fleet.directPeers().map((peer) => [peer.session, peer]));
  return fleet.live().map(({ session, name, zone, callers, ready, reachesStore }) => {
    const found = peerBySession.get(session);
    const holdsLease = (found?.leaseVersion ?? 0) > 0;
    const age = found === undefined ? undefined : Math.round(now - found.receivedAt);
    return { name, zone, callers, ready, reachesStore, holdsLease, age };
  });
}

/** Returns the status of the accounts' quotas, for operators. */
export function quotaStatuses(accounts: readonly QuotaStatus[]): RoutedStatus["quotas"] {
  return accounts.map(({ level, reserve, ...account }) => ({
    ...account,
    level: Math.round(level),
    reserve: Math.round(reserve),
  }));
}

/** Returns the status of the routes, for operators. */
export function routeStatuses(routes: readonly Route[]): RoutedStatus["routes"] {
  return routes.map(({ name, host, pathPrefix, shares, timeout, maxAttempts: attempts }) => {
    const services = shares.map(({ service, weight }) => `${service} ${weight}`);
    return { name, host, pathPrefix, services, timeout, attempts };
  });
}

/**
 * Returns the status of the quarantined requests, for operators.
 *
 * @param now The synchronized time, in milliseconds since the Unix epoch.
 */
export function quarantineStatuses(
  requests: readonly CrashRecord[],
  now: number,
): RoutedStatus["quarantine"] {
  return requests.map(({ fingerprint, crashes, since }) => ({
    print: fingerprint.name,
    crashes,
    since: Math.round(now - since),
  }));
}
