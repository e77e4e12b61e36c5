/**
 * Plans how updates travel between the entry instances of a region.
 *
 * In a small fleet, every instance sends its updates to every other instance. With hundreds of
 * instances, this would take most of their processor time or delay updates by seconds. In a larger
 * fleet, two relays per availability zone collect the updates of the zone's instances, exchange
 * sums with the relays of the other zones, and send the total to their own zone. Each instance then
 * sends and receives a few messages per period, regardless of the fleet's size.
 *
 * Relays are selected by rendezvous hashing over the live instances, larger machines first, so all
 * instances select the same relays without coordination. If views differ temporarily, an instance
 * that is addressed as a relay still replies.
 *
 * @module
 */
import { hashText, mixHashes } from "../version/index.ts";

/** Properties of an instance that determine its role. */
export interface TopologyInstance {
  /** Address `IP:PORT` for other instances; it identifies the instance. */
  readonly peers: string;
  readonly zone: string;
  /**
   * Processor capacity in thousandths of a core. An integer, so that all instances compare equal
   * values.
   */
  readonly capacity: number;
  /** Whether the instance accepts requests. One that is stopping will soon send nothing. */
  readonly ready: boolean;
}

/** Role of an instance in the exchange of updates. */
export enum FleetRole {
  /** The fleet is small and every instance sends to every other. */
  Mesh = "equal",
  /** Collects the updates of its zone and sends the total of all zones to it. */
  Relay = "relay",
  /** Sends its updates to the relays of its zone and receives the total from them. */
  Member = "member",
}

/** Roles of the fleet's instances, as seen by one of them. */
export interface FleetTopology {
  readonly role: FleetRole;
  /** Addresses of each zone's relays in order of preference; empty in a small fleet. */
  readonly relays: ReadonlyMap<string, readonly string[]>;
  /**
   * Addresses of the relays that watch the store for all others; empty in a small fleet, where
   * every instance watches the store itself.
   */
  readonly watchers: ReadonlySet<string>;
}

/**
 * Maximum number of instances that send updates to each other directly: about a dozen messages per
 * period each.
 */
export const MAX_MESH_SIZE = 13;
/**
 * Relays per zone. With a single relay, a zone would receive nothing until its failure is detected.
 */
const RELAYS_PER_ZONE = 2;

/**
 * Number of relays that watch the store. With this many in different zones, at least one almost
 * always reaches the store; each store change costs one call per watcher.
 */
const WATCHERS = 4;

const HASH_KEY = hashText("samphireshore/relays");
const hashes = new Map<string, number>();

/**
 * Computes the topology from the live instances.
 *
 * @param self This instance.
 * @param otherInstances All other live instances.
 */
export function planTopology(
  self: TopologyInstance,
  otherInstances: readonly TopologyInstance[],
): FleetTopology {
  const all = [self, ...otherInstances];
  if (all.length <= MAX_MESH_SIZE) {
    return { role: FleetRole.Mesh, relays: new Map(), watchers: new Set() };
  }
  const zones = new Map<string, TopologyInstance[]>();
  for (const instance of all) {
    const zone = zones.get(instance.zone) ?? [];
    zones.set(instance.zone, zone);
    zone.push(instance);
  }
  const relays = new Map(
    [...zones].map(([zone, instances]) => [
      zone,
      selectRelays(instances).map(({ peers }) => peers),
    ]),
  );
  const isRelay = relays.get(self.zone)?.includes(self.peers) === true;
  const role = isRelay ? FleetRole.Relay : FleetRole.Member;
  return { role, relays, watchers: selectWatchers(relays) };
}

/**
 * Selects the first relay of up to `WATCHERS` zones, then second relays if there are fewer zones.
 */
function selectWatchers(relays: ReadonlyMap<string, readonly string[]>): Set<string> {
  const byScore = [...relays]
    .map(([zone, addresses]) => ({ addresses, score: scoreOf({ peers: zone }) }))
    .sort((a, b) => b.score - a.score);
  const byPreference = Array.from({ length: RELAYS_PER_ZONE }, (_, preference) =>
    byScore.flatMap(({ addresses }) => addresses.slice(preference, preference + 1)),
  );
  return new Set(byPreference.flat().slice(0, WATCHERS));
}

function selectRelays(instances: TopologyInstance[]): TopologyInstance[] {
  return instances
    .sort(
      (a, b) =>
        Number(b.ready) - Number(a.ready) || b.capacity - a.capacity || scoreOf(b) - scoreOf(a),
    )
    .slice(0, RELAYS_PER_ZONE);
}

function scoreOf({ peers }: Pick<TopologyInstance, "peers">): number {
  const hash = hashes.get(peers) ?? hashText(peers);
  hashes.set(peers, hash);
  return mixHashes(hash, HASH_KEY);
}
