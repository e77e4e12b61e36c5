import { Pool } from "undici";
import { z } from "zod";
import { readText } from "./http_body.ts";
import type { Cloud, Launch, LaunchOutcome } from "../interface/index.ts";

const launchOutcomeSchema: z.ZodType<LaunchOutcome> = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("launched"), instance: z.string() }),
  z.object({ kind: z.literal("refused"), reason: z.string() }),
  z.object({ kind: z.literal("unknown"), detail: z.string() }),
]);

const noticesSchema = z.array(z.object({ instance: z.string(), within: z.number() }));

/** Timeout of a call, in milliseconds; after it the response counts as lost. */
const CALL_TIMEOUT = 5_000;

/**
 * Creates an HTTP client for the cloud API that the stand-in serves.
 *
 * `launch` never rejects: a call without a valid response has the outcome `unknown`. The other calls
 * reject if there is no valid response in time.
 *
 * @param address `IP:PORT` of the API.
 */
export function createHttpCloud(address: string): Cloud & { close(): void } {
  const pool = new Pool(`http://${address}`, { connections: 4 });
  const call = async (
    method: "GET" | "POST" | "DELETE",
    path: string,
    body?: unknown,
  ): Promise<{ status: number; body: unknown }> => {
    const response = await pool.request({
      method,
      path,
      headers: { "content-type": "application/json" },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      signal: AbortSignal.timeout(CALL_TIMEOUT),
    });
    return {
      status: response.statusCode,
      body: JSON.parse(await readText(response.body)) as unknown,
    };
  };
  const launch = async (launchRequest: Launch): Promise<LaunchOutcome> => {
    try {
      return launchOutcomeSchema.parse(
        (await call("POST", "/cloud/instances", launchRequest)).body,
      );
    } catch (error) {
      // The instance may have been launched. A retry with the same token returns that instance.
      const detail = `Launching ${launchRequest.token} got no valid response: ${String(error)}.`;
      return { kind: "unknown", detail };
    }
  };
  return {
    launch,
    terminate: async (instance) => {
      const { status } = await call("DELETE", `/cloud/instances/${encodeURIComponent(instance)}`);
      if (status !== 200 && status !== 404) {
        throw new Error(`Terminating ${instance} failed with status ${status}.`);
      }
    },
    notices: async () => noticesSchema.parse((await call("GET", "/cloud/notices")).body),
    close: () => void pool.destroy(),
  };
}
