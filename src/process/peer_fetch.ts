import { z } from "zod";
import { createJsonCaller } from "../connection/json_call.ts";

/** How long a peer may take to send its objects, in milliseconds. */
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

/** Objects of a kind as another instance has them. */
export type FetchedObjects = z.infer<typeof fetchedSchema>;

/**
 * Fetches all objects of a kind from another instance.
 *
 * @param peer Its address for other instances.
 * @throws {Error} If it doesn't answer in time or answers something else.
 */
export async function fetchObjects(peer: string, kind: string): Promise<FetchedObjects> {
  const caller = createJsonCaller(peer, 1);
  try {
    const path = `/objects/${encodeURIComponent(kind)}`;
    const answer = await caller.call({ method: "GET", path, timeout: FETCH_TIMEOUT });
    return fetchedSchema.parse(answer.body);
  } finally {
    caller.close();
  }
}
