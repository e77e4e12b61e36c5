import { z } from "zod";
import { createJsonClient } from "../connection/json_client.ts";
import type { ReceiveBudget } from "../decision/index.ts";

/** Timeout in milliseconds for fetching a peer's objects. */
const FETCH_TIMEOUT = 1_000;

const fetchedSchema = z.object({
  version: z.number(),
  changedAt: z.number().optional(),
  age: z.number().optional(),
  objects: z.array(
    z.object({
      name: z.string(),
      version: z.number(),
      value: z.unknown().default(null),
      status: z.unknown().optional(),
    }),
  ),
});

/** All objects of a kind, as another instance has them. */
export type FetchedObjects = z.infer<typeof fetchedSchema>;

/**
 * Fetches all objects of a kind from the instance at an address. Rejects if it doesn't answer in time or its response is
 * invalid.
 */
export type FetchObjects = (peer: string, kind: string) => Promise<FetchedObjects>;

/**
 * Creates the function that fetches objects.
 *
 * @param budget Limits what responses hold until they are complete.
 */
export function createObjectFetch(budget: ReceiveBudget): FetchObjects {
  return async (peer, kind) => {
    const client = createJsonClient(peer, { connections: 1, budget });
    try {
      const path = `/objects/${encodeURIComponent(kind)}`;
      const response = await client.call({ method: "GET", path, timeout: FETCH_TIMEOUT });
      return fetchedSchema.parse(response.body);
    } finally {
      client.close();
    }
  };
}
