import type { Route } from "../version/index.ts";
import type { PeerInstance } from "./peer.ts";
import type { RosterEntry } from "./digest.ts";
import type { CrashRecord } from "./crash_record.ts";
import type { RoutedStatus } from "./routed_status.ts";

/** The other instances as operators are shown them. */
export function instanceStatuses(
  fleet: { live(): readonly RosterEntry[]; heard(): readonly PeerInstance[] },
  now: number,
): RoutedStatus["instances"] {
  const heard = new Map(fleet.heard().map((one) => [one.session, one]));
  return fleet.live().map(({ session, name, zone, callers, ready, reachesStore }) => {
    const found = heard.get(session);
    const holdsLease = (found?.leaseVersion ?? 0) > 0;
    const age = found === undefined ? undefined : Math.round(now - found.heardAt);
    return { name, zone, callers, ready, reachesStore, holdsLease, age };
  });
}

/** The routes as operators are shown them. */
export function routeStatuses(routes: readonly Route[]): RoutedStatus["routes"] {
  return routes.map(({ name, host, pathPrefix, shares, timeout, attempts }) => {
    const services = shares.map(({ service, weight }) => `${service} ${weight}`);
    return { name, host, pathPrefix, services, timeout, attempts };
  });
}

/**
 * The requests that no worker gets as operators are shown them.
 *
 * @param now The time of day in milliseconds since 1970.
 */
export function quarantineStatuses(
  requests: readonly CrashRecord[],
  now: number,
): RoutedStatus["quarantine"] {
  return requests.map(({ print, crashes, since }) => ({
    print: print.name,
    crashes,
    since: Math.round(now - since),
  }));
}
