import type { ServerResponse } from "node:http";
import polka from "polka";
import { listenHttp, readBody, sendEvent, sendJson } from "../connection/index.ts";
import type { Listener } from "../connection/index.ts";
import { sleep } from "../interface/index.ts";
import type { Clock, Dispatch } from "../interface/index.ts";

/** What a backend server stand-in is made with. */
export interface BackendStandin {
  /** `IP:PORT` to listen on. */
  readonly listen: string;
  /** Milliseconds between tokens. */
  readonly tokenTime: number;
  readonly clock: Clock;
}

const BODY_LIMIT = 4_000_000;
const DEFAULT_ANSWER_TOKENS = 16;

/** Starts a small stand-in for a model engine: it answers with the words of the request, one a token. */
export function startBackend(settings: BackendStandin): Promise<Listener> {
  const app = polka();
  app.post("/engine/run", async (request, response) => {
    const dispatch = JSON.parse(await readBody(request, BODY_LIMIT)) as Dispatch;
    response.writeHead(200, { "content-type": "text/event-stream" });
    await generate(settings, dispatch, response);
    response.end();
  });
  app.post("/engine/report", (_request, response) => sendJson(response, {}));
  return listenHttp(settings.listen, (request, response) => {
    app.handler(request as polka.Request, response);
  });
}

async function generate(
  { clock, tokenTime }: BackendStandin,
  dispatch: Dispatch,
  response: ServerResponse,
): Promise<void> {
  const body = JSON.parse(dispatch.body) as { max_tokens?: number; max_completion_tokens?: number };
  const bound = body.max_completion_tokens ?? body.max_tokens;
  sendEvent(response, { kind: "started", recomputed: 0, cached: 0 });
  for (let index = dispatch.tokens.length; index < (bound ?? DEFAULT_ANSWER_TOKENS); index++) {
    await sleep(clock, tokenTime);
    sendEvent(response, { kind: "token", index, text: ` word${index}` });
  }
  sendEvent(response, { kind: "finished", reason: "stop" });
}
