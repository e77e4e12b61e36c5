/**
 * A simulated platform for development and tests: the object API, the list of workers, the cloud
 * and the weight store on one HTTP listener.
 *
 * `POST /standin/reclaim`, `/standin/outage` and `/standin/refuse` inject faults: they reclaim
 * instances, make the object API unavailable, and refuse launches.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import polka from "polka";
import { z } from "zod";
import { listenHttp, readBody, routeParameter, sendJson } from "../connection/index.ts";
import type { Listener } from "../connection/index.ts";
import { Purchase } from "../interface/index.ts";
import { createSimulatedCloud } from "./simulated_cloud.ts";
import type { CloudOptions, SimulatedCloud } from "./simulated_cloud.ts";
import { createObjectTable } from "./object_table.ts";
import type { ObjectTable } from "./object_table.ts";
import { createWeightStore } from "./weight_store.ts";

/** Maximum size of a value in bytes, as on the real platform. */
const MAX_VALUE_BYTES = 1_000_000;
/** Milliseconds after which a watch is answered if nothing has changed. */
const WATCH_TIMEOUT = 30_000;
/** Rate of the weight store in bytes per second if the options don't set it. */
const DEFAULT_WEIGHT_BYTES_PER_SECOND = 2_000_000_000;
const UNAVAILABLE = 503;
const NOT_FOUND = 404;
const PRECONDITION_FAILED = 412;

/** Options of the simulated platform. */
export interface PlatformServerOptions extends CloudOptions {
  /** Address and port to listen on, as `IP:PORT`. */
  readonly listen: string;
  /** Bytes per second of the weight store, shared by all loads; defaults to 2 GB/s. */
  readonly weightBytesPerSecond?: number;
}

/** A running simulated platform. */
export interface PlatformServer extends Listener {
  readonly cloud: SimulatedCloud;
  /**
   * Makes the object API unavailable or available again. While it is unavailable, reads and writes
   * are refused, and watches get no response.
   */
  setUnavailable(isUnavailable: boolean): void;
}

const launchSchema = z.object({
  token: z.string().min(1),
  service: z.string(),
  zone: z.string(),
  machineClass: z.string(),
  purchase: z.enum(Purchase),
});
const reclaimSchema = z.union([
  z.strictObject({ instance: z.string(), within: z.number().min(0) }),
  z.strictObject({ zone: z.string(), within: z.number().min(0) }),
]);
const outageSchema = z.strictObject({ down: z.boolean() });
const refuseSchema = z.strictObject({ zone: z.string().exactOptional(), refuse: z.boolean() });

/**
 * Starts a simulated platform.
 *
 * @param settings Options of the platform.
 * @returns The platform, once it is listening.
 */
export async function startPlatformServer(
  settings: PlatformServerOptions,
): Promise<PlatformServer> {
  const table = createObjectTable();
  const cloud = createSimulatedCloud(settings);
  const state = { isUnavailable: false };
  const app = polka();
  addObjectRoutes(app, { table, state });
  addCloudRoutes(app, cloud);
  addWeightRoute(app, settings);
  const setUnavailable = (isUnavailable: boolean): void => {
    state.isUnavailable = isUnavailable;
  };
  addFaultRoutes(app, { cloud, setUnavailable });
  const listener = await listenHttp(
    settings.listen,
    (request: IncomingMessage, response: ServerResponse) => {
      app.handler(request as polka.Request, response);
    },
  );
  const close = async (): Promise<void> => {
    cloud.close();
    await listener.close();
  };
  return { ...listener, cloud, setUnavailable, close };
}

function addObjectRoutes(
  app: polka.Polka,
  { table, state }: { table: ObjectTable; state: { readonly isUnavailable: boolean } },
): void {
  const isUnavailable = (): boolean => state.isUnavailable;
  app.get("/objects/:key", async (request, response) => {
    if (isUnavailable()) {
      sendJson(response, {}, { status: UNAVAILABLE });
      return;
    }
    const key = routeParameter(request, "key");
    const { after } = request.query as { after?: string };
    const object =
      after === undefined
        ? table.get(key)
        : await table.waitForChange(key, Number(after), AbortSignal.timeout(WATCH_TIMEOUT));
    if (isUnavailable()) return;
    if (object === undefined) sendJson(response, {}, { status: NOT_FOUND });
    else sendJson(response, object);
  });
  app.put("/objects/:key", async (request, response) => {
    const value = await readBody(request, MAX_VALUE_BYTES);
    if (isUnavailable()) {
      sendJson(response, {}, { status: UNAVAILABLE });
      return;
    }
    const expect = Number(request.headers["if-match"] ?? 0);
    const outcome = table.put(routeParameter(request, "key"), value, expect);
    if (outcome.kind === "written") sendJson(response, { version: outcome.version });
    else if (outcome.kind === "conflict") {
      sendJson(response, outcome.current ?? {}, { status: PRECONDITION_FAILED });
    }
  });
}

function addCloudRoutes(app: polka.Polka, cloud: SimulatedCloud): void {
  app.get("/instances", (_request, response) => sendJson(response, cloud.list()));
  app.get("/cloud/notices", (_request, response) => sendJson(response, cloud.notices()));
  app.post("/cloud/instances", async (request, response) => {
    const launch = await readJsonBody(request, { schema: launchSchema, response });
    if (launch !== undefined) sendJson(response, await cloud.launch(launch));
  });
  app.delete("/cloud/instances/:id", (request, response) => {
    const isKnown = cloud.terminate(decodeURIComponent(routeParameter(request, "id")));
    sendJson(response, {}, { status: isKnown ? 200 : NOT_FOUND });
  });
}

function addWeightRoute(
  app: polka.Polka,
  { clock, weightBytesPerSecond }: PlatformServerOptions,
): void {
  const weights = createWeightStore(clock, weightBytesPerSecond ?? DEFAULT_WEIGHT_BYTES_PER_SECOND);
  app.get("/weights/:model", async (request, response) => {
    const { bytes } = request.query as { bytes?: string };
    await weights.waitForLoad(Number(bytes ?? 0));
    sendJson(response, { model: routeParameter(request, "model"), loaded: true });
  });
}

function addFaultRoutes(
  app: polka.Polka,
  {
    cloud,
    setUnavailable,
  }: { cloud: SimulatedCloud; setUnavailable: (isUnavailable: boolean) => void },
): void {
  app.post("/standin/reclaim", async (request, response) => {
    const reclaim = await readJsonBody(request, { schema: reclaimSchema, response });
    if (reclaim !== undefined) sendJson(response, { instances: cloud.reclaim(reclaim) });
  });
  app.post("/standin/outage", async (request, response) => {
    const outage = await readJsonBody(request, { schema: outageSchema, response });
    if (outage === undefined) return;
    setUnavailable(outage.down);
    sendJson(response, outage);
  });
  app.post("/standin/refuse", async (request, response) => {
    const refusal = await readJsonBody(request, { schema: refuseSchema, response });
    if (refusal === undefined) return;
    cloud.refuse(refusal);
    sendJson(response, refusal);
  });
}

/**
 * Reads a JSON body. If it doesn't match the schema, answers with status 400 and returns undefined.
 */
async function readJsonBody<T>(
  request: IncomingMessage,
  { schema, response }: { schema: z.ZodType<T>; response: ServerResponse },
): Promise<T | undefined> {
  try {
    return schema.parse(JSON.parse(await readBody(request, MAX_VALUE_BYTES)));
  } catch (error) {
    sendJson(response, { fault: String(error) }, { status: 400 });
    return undefined;
  }
}
