import { Pool } from "undici";
import { z } from "zod";
import { readText } from "./http_body.ts";
import type { GetOutcome, ObjectStore, PutOutcome, StoredObject } from "../interface/index.ts";

const storedObjectSchema = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.string(),
});
const writeResultSchema = z.object({ version: z.number().int() });

/** Timeout of a read or a write, in milliseconds; after it the response counts as lost. */
const CALL_TIMEOUT = 2_000;
/** Timeout of a watch, in milliseconds; the store responds earlier even if nothing changed. */
const WATCH_TIMEOUT = 35_000;

/**
 * Creates an HTTP client for the platform's object store API that the stand-in serves.
 *
 * `get` and `put` never reject: their outcome shows whether the store was unavailable or the result of a
 * write is unknown. `watch` rejects if there is no response in time or the signal is aborted.
 *
 * @param address `IP:PORT` of the API.
 */
export function createHttpObjectStore(address: string): ObjectStore {
  const pool = new Pool(`http://${address}`, { connections: 8 });
  return {
    get: (key) => getObject(pool, key),
    put: (key, value, { expect }) => putObject(pool, { key, value, expect }),
    watch: (key, after, signal) => watchObject(pool, { key, after, signal }),
    close: () => void pool.destroy(),
  };
}

async function getObject(pool: Pool, key: string): Promise<GetOutcome> {
  try {
    const path = `/objects/${encodeURIComponent(key)}`;
    const response = await pool.request({
      method: "GET",
      path,
      signal: AbortSignal.timeout(CALL_TIMEOUT),
    });
    const body = await readText(response.body);
    if (response.statusCode === 404) return { kind: "absent" };
    if (response.statusCode === 200)
      return { kind: "found", object: storedObjectSchema.parse(JSON.parse(body)) };
    return {
      kind: "unavailable",
      detail: `Reading ${key} failed with status ${response.statusCode}.`,
    };
  } catch (error) {
    return {
      kind: "unavailable",
      detail: `Reading ${key} got no valid response: ${String(error)}.`,
    };
  }
}

async function putObject(
  pool: Pool,
  write: { key: string; value: string; expect: number },
): Promise<PutOutcome> {
  try {
    const response = await pool.request({
      method: "PUT",
      path: `/objects/${encodeURIComponent(write.key)}`,
      headers: { "if-match": String(write.expect) },
      body: write.value,
      signal: AbortSignal.timeout(CALL_TIMEOUT),
    });
    const body = await readText(response.body);
    if (response.statusCode === 200) {
      return { kind: "written", version: writeResultSchema.parse(JSON.parse(body)).version };
    }
    if (response.statusCode === 412) return parseConflict(body);
    const detail = `Writing ${write.key} failed with status ${response.statusCode}.`;
    return response.statusCode === 503 || response.statusCode === 429
      ? { kind: "unavailable", detail }
      : { kind: "unknown", detail };
  } catch (error) {
    // The write may have been applied although its response was lost; only a read can show it.
    return {
      kind: "unknown",
      detail: `Writing ${write.key} got no valid response: ${String(error)}.`,
    };
  }
}

function parseConflict(body: string): PutOutcome {
  const parsed = storedObjectSchema.safeParse(JSON.parse(body));
  return parsed.success ? { kind: "conflict", current: parsed.data } : { kind: "conflict" };
}

async function watchObject(
  pool: Pool,
  watch: { key: string; after: number; signal: AbortSignal },
): Promise<StoredObject | undefined> {
  const response = await pool.request({
    method: "GET",
    path: `/objects/${encodeURIComponent(watch.key)}?after=${watch.after}`,
    signal: AbortSignal.any([watch.signal, AbortSignal.timeout(WATCH_TIMEOUT)]),
    headersTimeout: WATCH_TIMEOUT,
  });
  const body = await readText(response.body);
  return response.statusCode === 200 ? storedObjectSchema.parse(JSON.parse(body)) : undefined;
}
