/** Whether a request may be sent again when its response is lost. */
export enum Repetition {
  /** The request may run any number of times. */
  Idempotent = "idempotent",
  /** The request must run at most once. */
  AtMostOnce = "at-most-once",
}

/** How a response is delivered. */
export enum Delivery {
  /** As one body, once it is complete. */
  Whole = "whole",
  /** As a stream of events, each delivered when it is received. */
  Events = "events",
}

/** The unit that a quota counts. */
export enum QuotaUnit {
  Requests = "requests",
  Tokens = "tokens",
}

/** A service that gets a share of a route's requests. */
export interface RouteShare {
  readonly service: string;
  /** The service's share, relative to the weights of the route's other services. */
  readonly weight: number;
}

/** The rules for requests to one host and path prefix. */
export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly repetition: Repetition;
  readonly delivery: Delivery;
  /** Whether an event stream may be resumed at another worker after its last complete event. */
  readonly resumable: boolean;
  /** Maximum milliseconds from the arrival of the request to its final response. */
  readonly timeout: number;
  /** Latency target in milliseconds, from the caller's first attempt to the response or its first event. */
  readonly latencyTarget: number;
  /** Target for the longest pause between two events, in milliseconds; undefined if there is none. */
  readonly gapTarget: number | undefined;
  /** Priority of the requests; 0 is the highest. */
  readonly priority: number;
  /** Maximum number of workers that one request may run on. */
  readonly maxAttempts: number;
  readonly shares: readonly RouteShare[];
  /** Whether requests are served without an API key. */
  readonly isPublic: boolean;
}

/** Capacities and features of a model service's engines. */
export interface EngineFeatures {
  /** Maximum number of requests that one engine runs concurrently. */
  readonly slots: number;
  /** Capacity of an engine's KV cache in tokens. */
  readonly cacheTokens: number;
  /** Size of the KV cache per token, in bytes. */
  readonly bytesPerToken: number;
  /** Whether the KV cache of a run can be moved to another engine. */
  readonly canMoveCache: boolean;
  /** Whether the KV cache of a run can be continuously copied to another engine. */
  readonly canBackUpCache: boolean;
}

/** Limits and prices for ordering workers of a service. */
export interface ServiceScaling {
  /** Minimum number of workers per availability zone, reclaimable and on-demand together. */
  readonly minWorkers: number;
  /** Maximum number of workers per availability zone, reclaimable and on-demand together. */
  readonly maxWorkers: number;
  /** Milliseconds from ordering a worker until it serves its first request. */
  readonly startUp: number;
  /** Price of a reclaimable worker as a fraction of the on-demand price. */
  readonly reclaimablePrice: number;
  /** On-demand price of a worker per second, by availability zone. */
  readonly zonePrices: ReadonlyMap<string, number>;
}

/** A service that requests are routed to. */
export interface RoutedService {
  readonly name: string;
  /** Maximum number of connections that a worker accepts from all entry instances together. */
  readonly maxConnections: number;
  /** Undefined if the workers are not model engines. */
  readonly engine: EngineFeatures | undefined;
  /** Undefined if workers must not be ordered. */
  readonly scaling: ServiceScaling | undefined;
}

/** A client account's rate limit over all entry instances together. */
export interface Quota {
  readonly unit: QuotaUnit;
  /** Rate limit in units per second. */
  readonly perSecond: number;
  /** Units that may be used at once above the rate. */
  readonly burst: number;
  /** Tokens charged for a request that doesn't state its size, if the unit is tokens. */
  readonly unstatedTokens: number;
}

/** A client account with its API keys. */
export interface RoutedAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Priority that overrides the route's; 0 is the highest. */
  readonly priority: number | undefined;
  /** Undefined if the account has no limit. */
  readonly quota: Quota | undefined;
  /** Weight in the division of an overloaded service among the accounts; above 0, and 1 if undefined. */
  readonly weight?: number | undefined;
  /** Fraction of each service's capacity that is the account's before the rest is divided; 0 if undefined. */
  readonly reservedShare?: number | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  /** Maximum size of a request's header in bytes. */
  readonly maxHeaderBytes: number;
  /** Maximum size of a request's body in bytes. */
  readonly maxBodyBytes: number;
  /** Milliseconds within which the complete header must be received. */
  readonly headerTimeout: number;
  /** Milliseconds after which an idle connection is closed. */
  readonly idleTimeout: number;
}

/** One version of the complete routing configuration. */
export interface Routing {
  /** Increases with each change, possibly by more than one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Undefined if requests carry no API keys. */
  readonly accounts: readonly RoutedAccount[] | undefined;
  readonly limits: CallerLimits;
}

/** Whether any of the route's requests go to the service. */
export function leadsTo({ shares }: Pick<Route, "shares">, name: string): boolean {
  return shares.some(({ service, weight }) => service === name && weight > 0);
}
