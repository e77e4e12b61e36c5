import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerMemory } from "../decision/index.ts";
import type {
  Clock,
  DeletableStore,
  FeedSnapshot,
  FeedObject,
  HeaderNames,
  ObjectFeed,
  ObjectStore,
  Platform,
  Random,
  RestorableStore,
  RolloutEntry,
  RolloutStore,
  RoutedWorker,
} from "../interface/index.ts";
import type { Duplex } from "node:stream";
import type { OpenDatagramSocket } from "../connection/datagram_socket.ts";
import type { Connect } from "../connection/dial.ts";
import type { ProcessReport } from "../connection/process_identity.ts";
import type { Routing } from "../version/index.ts";
import type { ObjectLimits } from "./object_limits.ts";
import type { FetchObjects } from "./peer_fetch.ts";
import type { RoutedLog } from "./routed_log.ts";
import type { RoutedMetricsRegistry } from "./routed_metrics.ts";
import type { RoutedSettings } from "./routed_settings.ts";
import type { RoutedStatus } from "./routed_status.ts";
import type { RunningTime } from "./running_time.ts";

/** Locations and parsers of the configuration, workers and other objects in the store. */
export interface StoredKinds {
  /** Kind and name of the object that contains the configuration. */
  readonly routing: { readonly kind: string; readonly name: string };
  /** Kind of the workers' registrations. */
  readonly workers: string;
  /** Kind of the rollout orders, each of which moves a service to another version of its workers. */
  readonly rollouts: string;
  /** Kind of the objects under `QUARANTINE_KEY`. */
  readonly quarantine: string;
  /** Returns the kind of the objects of a group of instances under `STREAM_RECORDS_KEY`. */
  readonly streamRecordsOf: (group: string) => string;
  /** Returns what the object with this kind and name may hold. */
  readonly limitsOf: (kind: string, name: string) => ObjectLimits;
  /** Parses a configuration. Throws if it is invalid. */
  readonly readRouting: (value: unknown) => Routing;
  /** Parses a worker's registration. Returns undefined if it describes no usable worker. */
  readonly readWorker: (object: FeedObject) => RoutedWorker | undefined;
  /** Parses a rollout order. Returns undefined if it is invalid. */
  readonly readRollout: (object: FeedObject) => RolloutEntry | undefined;
}

/** External services of an instance that serves routed requests. */
export interface RoutedEntryDependencies {
  readonly clock: Clock;
  /** Started and closed by the instance. */
  readonly runningTime: RunningTime;
  readonly random: Random;
  readonly feed: ObjectFeed;
  /** Fetches objects from other instances. */
  readonly fetchObjects: FetchObjects;
  readonly store: Pick<ObjectStore, "get" | "put"> & DeletableStore & RestorableStore;
  readonly rollouts: RolloutStore;
  readonly platform: Platform;
  /** Limit on the memory for what is kept for callers. */
  readonly callerMemory: CallerMemory;
  readonly kinds: StoredKinds;
  readonly names: HeaderNames;
  /** Where workers state when their process started. */
  readonly report: ProcessReport;
  readonly log: RoutedLog;
  readonly metrics: RoutedMetricsRegistry;
  /** Opens connections to workers; by default, those of the operating system. */
  readonly connect?: Connect | undefined;
  /** Opens the socket for datagrams to and from other instances; by default, one of the operating system. */
  readonly openDatagrams?: OpenDatagramSocket | undefined;
}

/** An entry instance that serves routed requests. */
export interface RoutedEntry {
  /** Handles one HTTP request of a caller. */
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  /** Relays a connection to a worker for another instance, which asks for it with the method CONNECT. */
  readonly relay: (request: IncomingMessage, stream: Duplex, head: Buffer) => void;
  /** Whether the instance has a configuration and workers and isn't stopping. */
  isReady(): boolean;
  /** Whether a planned stop has begun. */
  isStopping(): boolean;
  /** Whether a planned stop is so far that new requests are refused. */
  isClosedToNew(): boolean;
  /** Returns addresses of ready instances for callers, and their time to live in milliseconds. */
  resolve(): { addresses: string[]; life: number };
  /** Returns this instance's copy of the objects of a kind; undefined for kinds without any data. */
  objects(kind: string): FeedSnapshot | undefined;
  /** Returns the active configuration; undefined before the first one. */
  routing(): Routing | undefined;
  /** Returns the status of this instance and its view of the fleet, for operators. */
  status(): RoutedStatus;
  /** Starts all tasks. Resolves once peer messages can be received. */
  start(): Promise<void>;
  /** Applies changed settings. Only the addresses of other instances can change without a restart. */
  reload(changed: RoutedSettings): void;
  /**
   * Performs a planned stop that waits for requests in progress. Resolves when the process may exit.
   *
   * @param askedAt When the stop was asked for, in the clock's milliseconds, from which the grace period counts; by
   * default now.
   */
  stop(askedAt?: number): Promise<void>;
  /** Stops all tasks and closes all connections to workers. */
  close(): void;
}
