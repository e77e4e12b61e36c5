import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  Clock,
  ErasableStore,
  FeedList,
  FeedObject,
  HeaderNames,
  ObjectFeed,
  ObjectStore,
  Platform,
  Random,
  RolloutEntry,
  RolloutStore,
  RoutedWorker,
} from "../interface/index.ts";
import type { Routing } from "../version/index.ts";
import type { RoutedLog } from "./routed_log.ts";
import type { RoutedMetricsRegistry } from "./routed_metrics.ts";
import type { RoutedSettings } from "./routed_settings.ts";
import type { RoutedStatus } from "./routed_status.ts";

/** Where an instance finds its configuration and workers in the store, and how they are read. */
export interface StoredKinds {
  /** The object that holds the whole configuration. */
  readonly routing: { readonly kind: string; readonly name: string };
  /** The kind of the workers' entries. */
  readonly workers: string;
  /** The kind of orders to move a service to another version of its workers. */
  readonly rollouts: string;
  /** The kind of the objects under `QUARANTINE_KEY`. */
  readonly quarantine: string;
  /** Reads a configuration; throws where it isn't one. */
  readonly readRouting: (value: unknown) => Routing;
  /** Reads a worker's entry; undefined where it names no worker that can be used. */
  readonly readWorker: (object: FeedObject) => RoutedWorker | undefined;
  /** Reads an order's entry; undefined where it is none. */
  readonly readRollout: (object: FeedObject) => RolloutEntry | undefined;
}

/** What is outside an instance that serves routed requests. */
export interface RoutedOutside {
  readonly clock: Clock;
  readonly random: Random;
  readonly feed: ObjectFeed;
  readonly store: Pick<ObjectStore, "get" | "put"> & ErasableStore;
  readonly rollouts: RolloutStore;
  readonly platform: Platform;
  readonly kinds: StoredKinds;
  readonly names: HeaderNames;
  readonly log: RoutedLog;
  readonly metrics: RoutedMetricsRegistry;
}

/** An entry instance that serves routed requests. */
export interface RoutedEntry {
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  /** Whether it takes new requests. */
  isReady(): boolean;
  isStopping(): boolean;
  /** Addresses that callers may use now, and for how many milliseconds. */
  resolve(): { addresses: string[]; life: number };
  /** Objects of a kind as this instance has them; undefined for kinds that it doesn't follow. */
  objects(kind: string): FeedList | undefined;
  routing(): Routing | undefined;
  /** What the instance believes, for operators. */
  status(): RoutedStatus;
  start(): Promise<void>;
  /** Takes in settings that have changed: addresses of other instances. All else needs a restart. */
  reload(changed: RoutedSettings): void;
  /** Ends in a planned way: no request in progress is cut. Resolves when the process may exit. */
  stop(): Promise<void>;
  close(): void;
}
