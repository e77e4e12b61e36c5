import { Pool } from "undici";
import { z } from "zod";
import type { Cloud, Launch, LaunchOutcome } from "../interface/index.ts";

const launchOutcome: z.ZodType<LaunchOutcome> = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("launched"), instance: z.string() }),
  z.object({ kind: z.literal("refused"), reason: z.string() }),
  z.object({ kind: z.literal("unknown"), detail: z.string() }),
]);

const notices = z.array(z.object({ instance: z.string(), within: z.number() }));

/** How long a call may take before its answer counts as lost. */
const CALL_TIMEOUT = 5_000;

/** The cloud API by HTTP, as the stand-in serves it. */
export function createHttpCloud(address: string): Cloud & { close(): void } {
  const pool = new Pool(`http://${address}`, { connections: 4 });
  const call = async (
    method: "GET" | "POST" | "DELETE",
    path: string,
    body?: unknown,
  ): Promise<{ status: number; body: unknown }> => {
    const answer = await pool.request({
      method,
      path,
      headers: { "content-type": "application/json" },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      signal: AbortSignal.timeout(CALL_TIMEOUT),
    });
    return { status: answer.statusCode, body: await answer.body.json() };
  };
  const launch = async (wanted: Launch): Promise<LaunchOutcome> => {
    try {
      return launchOutcome.parse((await call("POST", "/cloud/instances", wanted)).body);
    } catch (error) {
      // The instance may have been launched. The same token asks for the same one again.
      const detail = `Launching ${wanted.token} got no answer: ${String(error)}.`;
      return { kind: "unknown", detail };
    }
  };
  return {
    launch,
    terminate: async (instance) => {
      const { status } = await call("DELETE", `/cloud/instances/${encodeURIComponent(instance)}`);
      if (status !== 200 && status !== 404) {
        throw new Error(`Terminating ${instance} was answered with status ${status}.`);
      }
    },
    notices: async () => notices.parse((await call("GET", "/cloud/notices")).body),
    close: () => void pool.destroy(),
  };
}
