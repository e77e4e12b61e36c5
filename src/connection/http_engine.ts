import { Agent, request } from "undici";
import { z } from "zod";
import { EngineRequestState } from "../interface/index.ts";
import type {
  Clock,
  Dispatch,
  Engine,
  EngineEvent,
  EngineFailure,
  LoadReport,
  DesiredEngineState,
  Random,
  Worker,
} from "../interface/index.ts";
import { readText } from "./http_body.ts";
import { createEngineFailure } from "./engine_failure.ts";
import { parseEvents } from "./event_stream.ts";
import { callPlainService } from "./plain_service_call.ts";
import { createWorkerConnections } from "./worker_connections.ts";
import { createWorkerPath } from "./worker_path.ts";

const engineEventSchema: z.ZodType<EngineEvent> = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("started"), recomputed: z.number(), cached: z.number() }),
  z.object({ kind: z.literal("token"), index: z.number().int(), text: z.string() }),
  z.object({
    kind: z.literal("finished"),
    reason: z.string(),
    body: z.string().exactOptional(),
  }),
  z.object({ kind: z.literal("status"), status: z.number(), body: z.string() }),
]);

const loadReportSchema = z.object({
  worker: z.string(),
  takenAt: z.number(),
  running: z.number(),
  waiting: z.number(),
  cacheTokens: z.number(),
  cacheCapacity: z.number(),
  loaded: z.array(z.string()),
});

/** Timeout of a call without an event stream, in milliseconds. */
const CALL_TIMEOUT = 2_000;
/** Maximum size of the response to such a call, in bytes; an exported cache is large. */
const MAX_CALL_RESPONSE_BYTES = 64_000_000;

/**
 * Creates an HTTP client for backend servers. `run` and `attach` return the server-sent events of the
 * response; `run` of a plain service is an ordinary HTTP request.
 *
 * A call that fails rejects with an {@linkcode EngineFailure}. A successful response with an unexpected
 * format rejects with a `ZodError` in `ask`, `exportCache` and `report`.
 */
export function createHttpEngine({
  clock,
  random,
}: {
  clock: Clock;
  random: Random;
}): Engine & { close(): void } {
  const agent = new Agent({ connections: 256, headersTimeout: 0, bodyTimeout: 0 });
  const plainPath = createWorkerPath({ clock, random });
  const plainConnections = createWorkerConnections({
    clock,
    path: plainPath,
    matching: { idHeader: "x-request-id", notRunHeader: "" },
    onHead: () => undefined,
  });
  const call = async (worker: Worker, path: string, body: unknown): Promise<unknown> => {
    try {
      const response = await request(`${worker.address}${path}`, {
        method: "POST",
        dispatcher: agent,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_TIMEOUT),
      });
      const result: unknown = JSON.parse(await readText(response.body, MAX_CALL_RESPONSE_BYTES));
      // Otherwise a rejected order would count as accepted and the worker would silently stay unchanged.
      if (response.statusCode >= 400) throw new Error(`Status ${response.statusCode}`);
      return result;
    } catch (error) {
      throw createEngineFailure(worker, { step: "order", cause: error, notSent: false });
    }
  };
  return {
    run: (worker, dispatch, signal) =>
      dispatch.path.startsWith("/")
        ? createEventIterator(agent, { worker, path: "/engine/run", body: dispatch, signal })
        : callPlainService(plainConnections, { worker, dispatch, signal }),
    attach: (worker, id, { fromToken, signal }) =>
      createEventIterator(agent, {
        worker,
        path: "/engine/attach",
        body: { id, fromToken },
        signal,
      }),
    cancel: async (worker, id) => {
      await call(worker, "/engine/cancel", { id });
    },
    queryRequest: async (worker, id, { bar }) =>
      z
        .object({ knowledge: z.enum(EngineRequestState) })
        .parse(await call(worker, "/engine/ask", { id, bar })).knowledge,
    exportCache: async (worker, id) =>
      z.object({ cache: z.string() }).parse(await call(worker, "/engine/export", { id })).cache,
    fetchLoad: async (worker): Promise<LoadReport> =>
      loadReportSchema.parse(await call(worker, "/engine/report", {})),
    setDesiredState: async (worker, order: DesiredEngineState) => {
      await call(worker, "/engine/order", order);
    },
    close: () => {
      plainConnections.close();
      plainPath.close();
      void agent.destroy();
    },
  };
}

/** Parses an event. Nearly all are tokens, which are checked by hand; the others use the schema. */
function parseEvent(data: string): EngineEvent {
  const parsed = JSON.parse(data) as Partial<EngineEvent> | null;
  if (parsed?.kind === "token") {
    const { index, text } = parsed;
    if (typeof text === "string" && Number.isSafeInteger(index)) return parsed as EngineEvent;
  }
  return engineEventSchema.parse(parsed);
}

/** A call whose response is an event stream. */
interface EventCall {
  readonly worker: Worker;
  readonly path: string;
  readonly body: Dispatch | { id: string; fromToken: number };
  readonly signal: AbortSignal;
}

/** Returns the events of a call; the request is sent when the first event is requested. */
function createEventIterator(agent: Agent, call: EventCall): AsyncIterableIterator<EngineEvent> {
  let stream: AsyncIterableIterator<EngineEvent> | undefined;
  const open = async (): Promise<IteratorResult<EngineEvent>> => {
    stream = await openEvents(agent, call);
    return stream.next();
  };
  const iterator: AsyncIterableIterator<EngineEvent> = {
    next: () => stream?.next() ?? open(),
    return: async () => {
      await stream?.return?.();
      return { value: undefined, done: true };
    },
    [Symbol.asyncIterator]: () => iterator,
  };
  return iterator;
}

/** Sends the request of a call; a status other than 200 becomes a single `status` event. */
async function openEvents(
  agent: Agent,
  { worker, path, body, signal }: EventCall,
): Promise<AsyncIterableIterator<EngineEvent>> {
  try {
    const response = await request(`${worker.address}${path}`, {
      method: "POST",
      dispatcher: agent,
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
      signal,
    });
    if (response.statusCode !== 200) {
      return statusEvent(response.statusCode, await readText(response.body));
    }
    const failure = (cause: unknown): EngineFailure =>
      createEngineFailure(worker, { step: "stream", cause, notSent: false });
    return parseEvents(response.body, parseEvent, { failure });
  } catch (error) {
    throw createEngineFailure(worker, {
      step: "connect",
      cause: error,
      notSent: isConnectionRefused(error),
    });
  }
}

async function* statusEvent(status: number, body: string): AsyncGenerator<EngineEvent> {
  await Promise.resolve();
  yield { kind: "status", status, body };
}

/** Only a refused connection proves that no byte of the request was sent. */
function isConnectionRefused(cause: unknown): boolean {
  return cause instanceof Error && "code" in cause && cause.code === "ECONNREFUSED";
}
