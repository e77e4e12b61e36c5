import type { IncomingMessage, ServerResponse } from "node:http";
import polka from "polka";
import { listenHttp, readBody, routeParameter, sendJson } from "../connection/index.ts";
import type { Listener } from "../connection/index.ts";
import { WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { createObjectTable } from "./object_table.ts";

/** Bound on a value, as the platform's. */
const VALUE_LIMIT = 1_000_000;
/** How long a watch waits before it is answered with nothing. */
const WATCH_WAIT = 30_000;

/** What the platform stand-in is made with. */
export interface PlatformStandin {
  /** `IP:PORT` to listen on. */
  readonly listen: string;
  /** The workers that its list begins with. */
  readonly workers: readonly Worker[];
}

/** Starts a small stand-in for the platform: object API, instance list and cloud on one listener. */
export function startPlatform(settings: PlatformStandin): Promise<Listener> {
  const table = createObjectTable();
  const app = polka();
  app.get("/objects/:key", async (request, response) => {
    const key = routeParameter(request, "key");
    const { after } = request.query as { after?: string };
    const found =
      after === undefined
        ? table.get(key)
        : await table.changed(key, Number(after), AbortSignal.timeout(WATCH_WAIT));
    if (found === undefined) sendJson(response, {}, { status: 404 });
    else sendJson(response, found);
  });
  app.put("/objects/:key", async (request, response) => {
    const value = await readBody(request, VALUE_LIMIT);
    const outcome = table.put(routeParameter(request, "key"), value, expected(request));
    if (outcome.kind === "written") sendJson(response, { version: outcome.version });
    else if (outcome.kind === "conflict")
      sendJson(response, outcome.current ?? {}, { status: 412 });
  });
  app.get("/instances", (_request, response) => {
    sendJson(
      response,
      settings.workers.map((worker) => ({ ...worker, state: WorkerState.Live })),
    );
  });
  return listenHttp(settings.listen, (request: IncomingMessage, response: ServerResponse) => {
    app.handler(request as polka.Request, response);
  });
}

function expected(request: IncomingMessage): number {
  return Number(request.headers["if-match"] ?? 0);
}
