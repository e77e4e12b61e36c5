import { z } from "zod";

/** What one entry instance believes of itself, the others, the routes and the workers. */
export const routedStatusSchema = z.object({
  instance: z.string(),
  zone: z.string(),
  ready: z.boolean(),
  stopping: z.boolean(),
  inProgress: z.number(),
  /** Version of the configuration in force; undefined before the first. */
  routing: z.number().optional(),
  /** Whether the platform's store has answered lately. */
  reachesStore: z.boolean(),
  holdsLease: z.boolean(),
  /** What it is to the others: one of equals, a relay of its zone's news, or a member that relays tell. */
  role: z.string(),
  /** Whether others tell it what changes in the store, so that it doesn't ask the store itself. */
  isFed: z.boolean(),
  instances: z.array(
    z.object({
      name: z.string(),
      zone: z.string(),
      callers: z.string(),
      ready: z.boolean(),
      reachesStore: z.boolean(),
      holdsLease: z.boolean(),
      /** Milliseconds since it was heard; undefined where others tell of it. */
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
      /** The version that the order names, and the one that serves. */
      to: z.string(),
      base: z.string(),
      /** How far it has come; undefined where nothing was said of it yet. */
      state: z.string().optional(),
      /** How the version is used; undefined where this instance gives it nothing. */
      phase: z.string().optional(),
      /** Milliseconds since the order, and how long it lasts. */
      since: z.number().optional(),
      duration: z.number(),
      /** Requests that this instance has sent since it knew of the order, and those of them to the new version. */
      sent: z.number(),
      tried: z.number(),
      /** What the instance with the duty thinks of the version; undefined at others. */
      verdict: z.string().optional(),
      /** How strongly what was seen speaks against the version. */
      evidence: z.number().optional(),
    }),
  ),
  /** Requests that no worker gets, since workers crashed when they ran them. */
  quarantine: z.array(
    z.object({
      print: z.string(),
      /** Workers that had ended under it when it was written to the store. */
      crashes: z.number(),
      /** Milliseconds since then. */
      since: z.number(),
    }),
  ),
  workers: z.array(
    z.object({
      id: z.string(),
      service: z.string(),
      /** The version of its software. */
      version: z.string(),
      zone: z.string(),
      purchase: z.string(),
      leaving: z.boolean(),
      running: z.number(),
      /** Chance that it fails a run beyond what is usual in its service. */
      failing: z.number(),
      /** Requests a second that it takes from all instances together, where it says so. */
      limit: z.number().optional(),
    }),
  ),
});

/** What one entry instance believes. */
export type RoutedStatus = z.infer<typeof routedStatusSchema>;
