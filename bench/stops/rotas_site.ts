/**
 * The deployment of the row `rotas`: its routes, services, sizes and rates.
 *
 * @module
 */

/** Distribution of a size: log-normal with a mean, a deviation of the logarithm, and a maximum. */
export interface Size {
  readonly mean: number;
  readonly spread: number;
  readonly max: number;
}

/** A part of a prompt that requests share. */
export interface SharedPart {
  readonly tokens: Size;
  /** Number of different parts. */
  readonly count: number;
}

/** A stream of events from the engine service. */
export interface StreamSizes {
  /** Events of an answer. */
  readonly events: Size;
  readonly ownTokens: Size;
  readonly shared: readonly SharedPart[];
}

/** Name of a route. */
export enum RotaRoute {
  Draft = "rota-draft",
  Summary = "shift-summary",
  Answer = "picker-answer",
  Confirm = "shift-confirm",
  Read = "rota-read",
}

/** Name of a service. */
export enum RotaService {
  Engine = "hongo-lm",
  Plain = "turno-app",
}

/** A route with its load. Times are in milliseconds. */
export interface RotaRouteSpec {
  readonly name: RotaRoute;
  readonly service: RotaService;
  readonly method: "GET" | "POST";
  readonly routeType: "safe" | "unsafe" | "streaming";
  readonly isResumable: boolean;
  readonly maxAttempts: number;
  readonly priority: number;
  readonly timeout: number;
  readonly latencyTarget: number;
  /** Deadline that callers state. */
  readonly deadline: number;
  /** Part of the traffic, in any unit. */
  readonly weight: number;
  /** Undefined for the routes of the plain service. */
  readonly stream: StreamSizes | undefined;
  /** Share of the requests that the workers answer with a failure of their own. */
  readonly errorShare: number;
  /** Bytes of the bodies; a stream's body has a byte for each token of its prompt. */
  readonly bodyBytes: Size;
}

const NO_BODY: Size = { mean: 0, spread: 0, max: 0 };

/** All routes. */
export const ROTA_ROUTES: readonly RotaRouteSpec[] = [
  {
    ...streamRoute(RotaRoute.Draft, { weight: 18.5, timeout: 10_000, latencyTarget: 800 }),
    priority: 1,
    stream: {
      events: { mean: 29.9, spread: 1.4, max: 120 },
      ownTokens: { mean: 3_720, spread: 1.1, max: 53_200 },
      shared: [{ tokens: { mean: 13_300, spread: 0.7, max: 39_900 }, count: 69 }],
    },
    bodyBytes: { mean: 17_000, spread: 0, max: 100_000 },
  },
  {
    ...streamRoute(RotaRoute.Summary, { weight: 14.6, timeout: 5_000, latencyTarget: 600 }),
    priority: 0,
    maxAttempts: 2,
    isResumable: true,
    stream: {
      events: { mean: 13, spread: 1.4, max: 52.1 },
      ownTokens: { mean: 2_890, spread: 1, max: 39_600 },
      shared: [
        { tokens: { mean: 2_520, spread: 0.4, max: 6_290 }, count: 4 },
        { tokens: { mean: 3_780, spread: 0.7, max: 11_300 }, count: 124 },
      ],
    },
    bodyBytes: { mean: 9_200, spread: 0, max: 55_000 },
  },
  {
    ...streamRoute(RotaRoute.Answer, { weight: 31.6, timeout: 10_000, latencyTarget: 500 }),
    priority: 2,
    stream: {
      events: { mean: 43.1, spread: 0.89, max: 150 },
      ownTokens: { mean: 1_110, spread: 1, max: 3_790 },
      shared: [
        { tokens: { mean: 210, spread: 0.4, max: 524 }, count: 8 },
        { tokens: { mean: 140, spread: 0.7, max: 419 }, count: 178 },
      ],
    },
    bodyBytes: { mean: 1_500, spread: 0, max: 8_700 },
  },
  {
    ...plainRoute(RotaRoute.Confirm, { weight: 16.2, errorShare: 0.004 }),
    method: "POST",
    routeType: "unsafe",
    maxAttempts: 1,
    bodyBytes: { mean: 600, spread: 0.5, max: 3_600 },
  },
  {
    ...plainRoute(RotaRoute.Read, { weight: 8, errorShare: 0.14 }),
    method: "GET",
    routeType: "safe",
    maxAttempts: 2,
    bodyBytes: NO_BODY,
  },
];

function streamRoute(
  name: RotaRoute,
  load: Pick<RotaRouteSpec, "weight" | "timeout" | "latencyTarget">,
) {
  return {
    name,
    service: RotaService.Engine,
    method: "POST",
    routeType: "streaming",
    isResumable: false,
    maxAttempts: 1,
    deadline: load.timeout,
    errorShare: 0,
    ...load,
  } as const;
}

function plainRoute(name: RotaRoute, load: Pick<RotaRouteSpec, "weight" | "errorShare">) {
  return {
    name,
    service: RotaService.Plain,
    isResumable: false,
    priority: 2,
    timeout: 1_500,
    latencyTarget: 300,
    deadline: 3_000,
    stream: undefined,
    ...load,
  } as const;
}

/** An availability zone with its instances, callers and workers. */
export interface RotaZone {
  readonly name: string;
  readonly instances: number;
  readonly clients: number;
  /** Requests per second, before {@linkcode LOAD_RATIO}. */
  readonly rate: number;
}

/** All zones. */
export const ROTA_ZONES: readonly RotaZone[] = [
  { name: "sn-a", instances: 2, clients: 10, rate: 15.5 },
  { name: "sn-b", instances: 2, clients: 10, rate: 19.3 },
  { name: "sn-c", instances: 1, clients: 11, rate: 22.2 },
  { name: "sn-d", instances: 1, clients: 10, rate: 18.6 },
];
/** Region of all zones. */
export const ROTA_REGION = "sierra-norte";
/** Part of the stated rates that is sent. */
export const LOAD_RATIO = 0.7;
/** Host of all routes. */
export const ROTA_HOST = "rotas.example";

/** The engine of the workers of {@linkcode RotaService.Engine}. */
export const ENGINE = {
  slots: 64,
  queue: 134,
  /** Milliseconds of a step without any request. */
  stepTime: 3.7,
  /** Milliseconds of a step for each running request. */
  stepTimePerRun: 0.0193,
  /** Milliseconds of a step for 1,000 tokens in memory. */
  stepTimePerContext: 0.0102,
  prefillTokensPerMillisecond: 63.9,
  tokensPerEvent: 4,
  /** Tokens of prompts that are read between two steps. */
  chunk: 2_048,
  memoryTokens: 565_277,
  /** Age of the values of a report, in milliseconds. */
  reportLag: 100,
  /** Factors of the time of a step, for the workers of a zone in turn. */
  slowness: [1, 1, 1.3],
  workersPerZone: 3,
  maxConnections: 360,
} as const;

/** The workers of {@linkcode RotaService.Plain}. */
export const PLAIN = {
  slots: 6,
  queue: 24,
  workTime: { mean: 60, spread: 0.5, max: 450 },
  answerBytes: { mean: 800, spread: 0.5, max: 4_800 },
  workersPerZone: 1,
  maxConnections: 96,
} as const;

/** A client account with its share of the requests. */
export interface RotaAccount {
  readonly name: string;
  readonly key: string;
  readonly share: number;
}

/** All client accounts. */
export const ROTA_ACCOUNTS: readonly RotaAccount[] = [0.4, 0.25, 0.15, 0.1, 0.1].map(
  (share, index) => ({ name: `account-${index}`, key: `key-of-account-${index}`, share }),
);

/** Tokens per second of an account, and its burst: more than the usual load of the largest one. */
const ACCOUNT_RATE = 250_000;

/** Returns the operator's configuration. `overrides` replaces fields of each route. */
export function rotaConfiguration(version: number, overrides: object = {}): object {
  return {
    version,
    routes: ROTA_ROUTES.map((route) => ({
      name: route.name,
      host: ROTA_HOST,
      path_prefix: `/${route.name}/`,
      route_type: route.routeType,
      timeout_ms: route.timeout,
      slo_ms: route.latencyTarget,
      priority: route.priority,
      service: route.service,
      max_attempts: route.maxAttempts,
      public: false,
      resumable: route.isResumable,
      ...(route.stream === undefined ? {} : { gap_aim_ms: 400, sticky: true }),
      ...overrides,
    })),
    services: [
      {
        name: RotaService.Engine,
        max_connections: ENGINE.maxConnections,
        engine: {
          slots: ENGINE.slots,
          kv_tokens: ENGINE.memoryTokens,
          kv_bytes: 327_680,
          moves: true,
          backups: true,
        },
        scaling: {
          min: 1,
          max: 6,
          boot_s: 4,
          spot_price: 0.15,
          zone_prices: { "sn-a": 1, "sn-b": 0.8, "sn-c": 1.25, "sn-d": 0.9 },
        },
      },
      { name: RotaService.Plain, max_connections: PLAIN.maxConnections },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: ROTA_ACCOUNTS.map(({ name, key }) => ({
      name,
      api_keys: [key],
      priority: 1,
      unit: "tokens",
      plain_tokens: 200,
      rate_per_s: ACCOUNT_RATE,
      burst: ACCOUNT_RATE,
    })),
  };
}
