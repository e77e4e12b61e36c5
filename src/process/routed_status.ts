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
  workers: z.array(
    z.object({
      id: z.string(),
      service: z.string(),
      zone: z.string(),
      purchase: z.string(),
      leaving: z.boolean(),
      running: z.number(),
      /** Chance that it fails a run beyond what is usual in its service. */
      failing: z.number(),
    }),
  ),
});

/** What one entry instance believes. */
export type RoutedStatus = z.infer<typeof routedStatusSchema>;
