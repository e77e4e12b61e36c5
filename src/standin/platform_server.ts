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

/** Bound on a value, as the platform's. */
const MAX_VALUE_BYTES = 1_000_000;
/** How long a watch waits before it is answered with nothing. */
const WATCH_TIMEOUT = 30_000;
/** Bytes a second of the weight store where the settings say nothing. */
const DEFAULT_WEIGHT_BYTES_PER_SECOND = 2_000_000_000;
const UNAVAILABLE = 503;
const NOT_FOUND = 404;
const PRECONDITION_FAILED = 412;

/** What the platform stand-in is made with. */
export interface PlatformServerOptions extends CloudOptions {
  /** `IP:PORT` to listen on. */
  readonly listen: string;
  /** Bytes a second that the weight store gives to all loads together. */
  readonly weightBytesPerSecond?: number;
}

/** A running platform stand-in. */
export interface PlatformListener extends Listener {
  readonly cloud: SimulatedCloud;
  /** Takes the object API down, or up again: reads and writes are refused, watches go silent. */
  setDown(down: boolean): void;
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
 * Starts a small stand-in for the platform on one listener: object API, lagging instance list, cloud and
 * weight store. `POST /standin/reclaim`, `/standin/outage` and `/standin/refuse` make it fail.
 */
export async function startPlatform(settings: PlatformServerOptions): Promise<PlatformListener> {
  const table = createObjectTable();
  const cloud = createSimulatedCloud(settings);
  const state = { down: false };
  const app = polka();
  addObjectRoutes(app, { table, state });
  addCloudRoutes(app, cloud);
  addWeightRoute(app, settings);
  const setDown = (down: boolean): void => {
    state.down = down;
  };
  addFaultRoutes(app, { cloud, setDown });
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
  return { ...listener, cloud, setDown, close };
}

function addObjectRoutes(
  app: polka.Polka,
  { table, state }: { table: ObjectTable; state: { readonly down: boolean } },
): void {
  const isDown = (): boolean => state.down;
  app.get("/objects/:key", async (request, response) => {
    if (isDown()) {
      sendJson(response, {}, { status: UNAVAILABLE });
      return;
    }
    const key = routeParameter(request, "key");
    const { after } = request.query as { after?: string };
    const object =
      after === undefined
        ? table.get(key)
        : await table.waitForChange(key, Number(after), AbortSignal.timeout(WATCH_TIMEOUT));
    if (isDown()) return;
    if (object === undefined) sendJson(response, {}, { status: NOT_FOUND });
    else sendJson(response, object);
  });
  app.put("/objects/:key", async (request, response) => {
    const value = await readBody(request, MAX_VALUE_BYTES);
    if (isDown()) {
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
  { cloud, setDown }: { cloud: SimulatedCloud; setDown: (down: boolean) => void },
): void {
  app.post("/standin/reclaim", async (request, response) => {
    const reclaim = await readJsonBody(request, { schema: reclaimSchema, response });
    if (reclaim !== undefined) sendJson(response, { instances: cloud.reclaim(reclaim) });
  });
  app.post("/standin/outage", async (request, response) => {
    const outage = await readJsonBody(request, { schema: outageSchema, response });
    if (outage === undefined) return;
    setDown(outage.down);
    sendJson(response, outage);
  });
  app.post("/standin/refuse", async (request, response) => {
    const refusal = await readJsonBody(request, { schema: refuseSchema, response });
    if (refusal === undefined) return;
    cloud.refuse(refusal);
    sendJson(response, refusal);
  });
}

/** The body as the schema has it; otherwise the fault is answered and nothing returned. */
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
