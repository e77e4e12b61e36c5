/** What may be repeated of a request when its answer is lost. */
export enum Repetition {
  /** It may run any number of times: idempotent. */
  Idempotent = "idempotent",
  /** It may run at most once. */
  AtMostOnce = "at-most-once",
}

/** How an answer is delivered. */
export enum Delivery {
  /** One body, delivered when it is whole. */
  Whole = "whole",
  /** A stream of events, each delivered as it comes. */
  Events = "events",
}

/** What a quota counts. */
export enum QuotaUnit {
  Requests = "requests",
  Tokens = "tokens",
}

/** A service that takes a share of a route's requests. */
export interface RouteShare {
  readonly service: string;
  /** Its part of the requests, against the other shares' weights. */
  readonly weight: number;
}

/** Requests of one host under one path prefix, and what may be done with them. */
export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repetition: Repetition;
  readonly delivery: Delivery;
  /** Whether an event stream may be continued at another worker after its last whole event. */
  readonly resumable: boolean;
  /** Longest time from arrival to the final answer, in milliseconds. */
  readonly timeout: number;
  /** Milliseconds from the caller's first attempt to the answer, or to its first event. */
  readonly target: number;
  /** Longest pause between events for which an answer is in time, in milliseconds. */
  readonly gapTarget: number | undefined;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Workers on which one request may run. */
  readonly attempts: number;
  readonly shares: readonly RouteShare[];
  /** Whether it is served without a key. */
  readonly isPublic: boolean;
}

/** What the engines of a model service can do, for the decisions that depend on it. */
export interface EngineFeatures {
  /** Requests that one engine runs at once. */
  readonly slots: number;
  /** Tokens that the engine's memory holds. */
  readonly cacheTokens: number;
  /** Bytes of KV cache a token. */
  readonly bytesPerToken: number;
  /** Whether a run's KV cache can be moved to another engine. */
  readonly moves: boolean;
  /** Whether a run's KV cache can be kept at another engine as it grows. */
  readonly backups: boolean;
}

/** Bounds and prices of a service's workers that can be ordered. */
export interface ServiceScaling {
  /** Fewest and most workers an availability zone, both purchases together. */
  readonly least: number;
  readonly most: number;
  /** Milliseconds from the order to the first request served. */
  readonly startUp: number;
  /** Price of a reclaimable worker, as a part of one on demand. */
  readonly reclaimablePrice: number;
  /** Price of a second of a worker by availability zone. */
  readonly zonePrices: ReadonlyMap<string, number>;
}

/** A service that requests are routed to. */
export interface RoutedService {
  readonly name: string;
  /** Connections that one worker accepts from all entry instances together. */
  readonly maxConnections: number;
  /** Present where the workers are model engines. */
  readonly engine: EngineFeatures | undefined;
  /** Present where workers may be ordered. */
  readonly scaling: ServiceScaling | undefined;
}

/** How much a client account may ask for over all entry instances. */
export interface Quota {
  readonly unit: QuotaUnit;
  readonly perSecond: number;
  /** What may come at once above the rate. */
  readonly burst: number;
  /** What a request without a stated size counts as, where tokens are counted. */
  readonly unstatedTokens: number;
}

/** A client account with its keys. */
export interface RoutedAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's rank. */
  readonly rank: number | undefined;
  /** Absent where the account may ask for any amount. */
  readonly quota: Quota | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Milliseconds for the whole head. */
  readonly headerTimeout: number;
  /** Milliseconds for which a connection may stay idle. */
  readonly idleTimeout: number;
}

/** One version of everything that decides where a request goes. */
export interface Routing {
  /** Grows with each change, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Absent where requests carry no keys. */
  readonly accounts: readonly RoutedAccount[] | undefined;
  readonly limits: CallerLimits;
}
