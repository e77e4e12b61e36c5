import { z } from "zod";

/** Schema of an entry instance's status: its own state and its view of the fleet, the routes and the workers. */
export const routedStatusSchema = z.object({
  instance: z.string(),
  zone: z.string(),
  ready: z.boolean(),
  stopping: z.boolean(),
  inProgress: z.number(),
  /** Version of the active configuration; undefined before the first. */
  routing: z.number().optional(),
  /** Whether the platform's store has responded recently. */
  reachesStore: z.boolean(),
  holdsLease: z.boolean(),
  /** Role in the exchange of digests: `equal`, `relay` or `member`, which receives its updates from relays. */
  role: z.string(),
  /** Whether it receives store changes from other instances and therefore doesn't poll the store itself. */
  isFed: z.boolean(),
  instances: z.array(
    z.object({
      name: z.string(),
      zone: z.string(),
      callers: z.string(),
      ready: z.boolean(),
      reachesStore: z.boolean(),
      holdsLease: z.boolean(),
      /** Milliseconds since its last message; undefined if it is known only through other instances. */
      age: z.number().optional(),
    }),
  ),
  routes: z.array(
    z.object({
      name: z.string(),
      host: z.string(),
      pathPrefix: z.string(),
      services: z.array(z.string()),
      timeout: z.number(),
      attempts: z.number(),
    }),
  ),
  /** Orders to move a service to another version of its workers. */
  rollouts: z.array(
    z.object({
      service: z.string(),
      /** The ordered version. */
      to: z.string(),
      /** The serving version. */
      base: z.string(),
      /** State of the order; undefined before its first status. */
      state: z.string().optional(),
      /** Phase of the rollout; undefined if this instance sends no requests to the version. */
      phase: z.string().optional(),
      /** Milliseconds since the order. */
      since: z.number().optional(),
      /** Total duration of the order in milliseconds. */
      duration: z.number(),
      /** Number of requests that this instance has sent since it received the order. */
      sent: z.number(),
      /** Number of these requests sent to the new version. */
      tried: z.number(),
      /** The lease holder's verdict on the version; undefined on other instances. */
      verdict: z.string().optional(),
      /** Strength of the evidence against the version. */
      evidence: z.number().optional(),
    }),
  ),
  /** Requests that are quarantined because workers crashed while running them. */
  quarantine: z.array(
    z.object({
      print: z.string(),
      /** Number of workers that had crashed while running it when it was written to the store. */
      crashes: z.number(),
      /** Milliseconds since that write. */
      since: z.number(),
    }),
  ),
  /** Quotas of the client accounts. */
  quotas: z
    .array(
      z.object({
        /** Name of the account. */
        name: z.string(),
        /** What is left of the quota over all instances, as known here; negative after a large request. */
        level: z.number(),
        /** Amount that large requests leave to smaller ones. */
        reserve: z.number(),
        /** Number of requests that this instance has admitted and refused since it started. */
        admitted: z.number(),
        refused: z.number(),
      }),
    )
    .default([]),
  /** Shares of the accounts in the services, if any account has a weight or a reserved share. */
  accounts: z
    .array(
      z.object({
        service: z.string(),
        /** Empty for requests without an account. */
        account: z.string(),
        weight: z.number(),
        reservedShare: z.number(),
        /** Fraction of the service's capacity that the account may have while the service is under pressure. */
        share: z.number(),
        /** Fraction of the service's capacity that the account has. */
        use: z.number(),
        /** Whether the service is under pressure, so that requests above the share are refused. */
        isUnderPressure: z.boolean(),
        /** Number of requests that this instance has refused because of the share. */
        refused: z.number(),
      }),
    )
    .default([]),
  workers: z.array(
    z.object({
      id: z.string(),
      service: z.string(),
      /** Version of the worker's software. */
      version: z.string(),
      zone: z.string(),
      purchase: z.string(),
      leaving: z.boolean(),
      running: z.number(),
      /** Failure probability in excess of the usual one in its service. */
      failing: z.number(),
      /** Factor by which its times to first events exceed those of a usual worker of its service; 1 if not measured. */
      slowness: z.number().default(1),
      /** Maximum requests per second from all instances together, if the worker states a limit. */
      limit: z.number().optional(),
      /** The part of the service's workers that it belongs to; undefined if long prompts aren't separated. */
      part: z.string().optional(),
    }),
  ),
});

/** An entry instance's own state and its view of the fleet. */
export type RoutedStatus = z.infer<typeof routedStatusSchema>;
