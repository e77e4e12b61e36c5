import { Agent, request } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { ReceivedPart } from "../decision/index.ts";
import type { ReceiveBudget } from "../decision/index.ts";
import { BodyTooLarge, MAX_RESPONSE_BYTES } from "./http_body.ts";
import { splitAddress } from "./http_listener.ts";

/** A request to a service with a JSON API. */
export interface JsonRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path with the query string. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON; if undefined, the request has no body. */
  readonly body?: unknown;
  /** Milliseconds after which the call fails, and its response counts as lost. */
  readonly timeout: number;
  /** Makes the call fail when aborted. */
  readonly signal?: AbortSignal | undefined;
}

/** A complete response. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** The parsed body; undefined if the response had none. */
  readonly body: unknown;
}

/** An HTTP client for one service. */
export interface JsonClient {
  /**
   * Sends a request.
   *
   * @returns The response, whatever its status.
   * @throws {BodyTooLarge} If the response is larger than the limits allow.
   * @throws {Error} If no complete response arrives in time, or its body isn't JSON. The service may have
   *   processed the request nevertheless.
   */
  call(request: JsonRequest): Promise<JsonResponse>;
  /** Closes all connections. */
  close(): void;
}

/** Options of {@linkcode createJsonClient}. */
export interface JsonClientOptions {
  /** Maximum number of connections; further calls wait for a free one. */
  readonly connections: number;
  /** Limits what the responses of all clients hold until they are complete. */
  readonly budget: ReceiveBudget;
}

/**
 * Creates a client for one service.
 *
 * It uses the client built into Node.js, because loading the HTTP library delays the start of the process,
 * and after a power failure callers wait for that start.
 *
 * @param address `IP:PORT` of the service.
 */
export function createJsonClient(
  address: string,
  { connections, budget }: JsonClientOptions,
): JsonClient {
  const [host, port] = splitAddress(address);
  const agent = new Agent({ keepAlive: true, maxSockets: connections, noDelay: true });
  const call = ({
    method,
    path,
    headers = {},
    body,
    timeout,
    signal,
  }: JsonRequest): Promise<JsonResponse> =>
    new Promise((resolve, reject) => {
      const text = body === undefined ? undefined : JSON.stringify(body);
      const framing =
        text === undefined
          ? {}
          : {
              "content-type": "application/json",
              "content-length": String(Buffer.byteLength(text)),
            };
      const outgoing = request({
        host,
        port,
        method,
        path,
        agent,
        headers: { ...headers, ...framing },
      });
      // A call that times out also closes its connection and the idle ones, so that the next call doesn't get
      // a connection that no longer delivers data.
      const timer = setTimeout(() => {
        outgoing.destroy(new Error(`no response within ${timeout} ms`));
        closeIdleConnections(agent);
      }, timeout);
      const abort = (): void => void outgoing.destroy(new Error("the call was aborted"));
      signal?.addEventListener("abort", abort);
      const end = (settle: () => void): void => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", abort);
        settle();
      };
      outgoing.on("error", (error) => end(() => reject(error)));
      outgoing.on("response", (response) => {
        const chunks: Buffer[] = [];
        const held = budget.open(ReceivedPart.Json);
        let size = 0;
        response.on("data", (chunk: Buffer) => {
          size += chunk.length;
          chunks.push(chunk);
          if (held.hold(size) && size <= MAX_RESPONSE_BYTES) return;
          held.recordExceeded(address);
          outgoing.destroy(new BodyTooLarge("the response is too large"));
        });
        response.on("error", (error) => end(() => reject(error)));
        response.on("close", () => {
          held.close();
          if (!response.complete) end(() => reject(new Error("the response is incomplete")));
          else end(() => settleCall({ response, chunks, resolve, reject }));
        });
      });
      outgoing.end(text);
    });
  return { call, close: () => agent.destroy() };
}

function closeIdleConnections({ freeSockets }: Agent): void {
  for (const sockets of Object.values(freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}

function settleCall(call: {
  response: { statusCode?: number | undefined; headers: IncomingHttpHeaders };
  chunks: readonly Buffer[];
  resolve: (response: JsonResponse) => void;
  reject: (error: Error) => void;
}): void {
  const text = Buffer.concat(call.chunks).toString("utf8");
  try {
    const body: unknown = text === "" ? undefined : JSON.parse(text);
    const { statusCode = 0, headers } = call.response;
    call.resolve({ status: statusCode, headers, body });
  } catch (error) {
    call.reject(error instanceof Error ? error : new Error(String(error)));
  }
}
