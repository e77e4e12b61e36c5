import { z } from "zod";
import { createJsonClient } from "../connection/json_client.ts";

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
      value: z.unknown(),
      status: z.unknown().optional(),
    }),
  ),
});

/** All objects of a kind, as another instance has them. */
export type FetchedObjects = z.infer<typeof fetchedSchema>;

/**
 * Fetches all objects of a kind from another instance.
 *
 * @param peer The peer's address for other instances.
 * @param kind The kind of the objects.
 * @throws {Error} If the peer doesn't answer in time or its response is invalid.
 */
export async function fetchObjects(peer: string, kind: string): Promise<FetchedObjects> {
  const client = createJsonClient(peer, 1);
  try {
    const path = `/objects/${encodeURIComponent(kind)}`;
    const response = await client.call({ method: "GET", path, timeout: FETCH_TIMEOUT });
    return fetchedSchema.parse(response.body);
  } finally {
    client.close();
  }
}
