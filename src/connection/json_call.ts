import { Agent, request } from "node:http";
import { splitAddress } from "./http_listener.ts";

/** A call to a service that speaks JSON. */
export interface JsonCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON; nothing is sent where it is undefined. */
  readonly body?: unknown;
  /** Milliseconds after which the answer counts as lost. */
  readonly timeout: number;
}

/** An answer that came whole. */
export interface JsonAnswer {
  readonly status: number;
  /** Undefined where it had no body. */
  readonly body: unknown;
}

/** Calls one service. */
export interface JsonCaller {
  /**
   * Makes a call.
   *
   * @throws {Error} If no whole answer comes in time, or its body isn't JSON. The call may have had its effect.
   */
  call(call: JsonCall): Promise<JsonAnswer>;
  close(): void;
}

/** Bytes of an answer: a list of the store has a megabyte at most. */
const GREATEST_ANSWER = 16_777_216;

/**
 * Makes a caller for the service at `IP:PORT`.
 *
 * It stands on Node's own client: the HTTP library's makes a process start later, and after a loss of power callers
 * wait for its start.
 *
 * @param connections Connections at once; further calls wait for one.
 */
export function createJsonCaller(address: string, connections: number): JsonCaller {
  const [host, port] = splitAddress(address);
  const agent = new Agent({ keepAlive: true, maxSockets: connections, noDelay: true });
  const call = ({ method, path, headers = {}, body, timeout }: JsonCall): Promise<JsonAnswer> =>
    new Promise((resolve, reject) => {
      const text = body === undefined ? undefined : JSON.stringify(body);
      const framing =
        text === undefined
          ? {}
          : {
              "content-type": "application/json",
              "content-length": String(Buffer.byteLength(text)),
            };
      const sent = request({
        host,
        port,
        method,
        path,
        agent,
        headers: { ...headers, ...framing },
      });
      // Whatever becomes of the connection, a call that isn't answered in time ends, and its connection with it:
      // one that went silent must not be given to the next call.
      const timer = setTimeout(() => {
        sent.destroy(new Error(`no answer within ${timeout} ms`));
      }, timeout);
      const end = (settle: () => void): void => {
        clearTimeout(timer);
        settle();
      };
      sent.on("error", (error) => end(() => reject(error)));
      sent.on("response", (response) => {
        const chunks: Buffer[] = [];
        let size = 0;
        response.on("data", (chunk: Buffer) => {
          size += chunk.length;
          chunks.push(chunk);
          if (size > GREATEST_ANSWER) sent.destroy(new Error("the answer is too large"));
        });
        response.on("error", (error) => end(() => reject(error)));
        response.on("close", () => {
          if (!response.complete) end(() => reject(new Error("the answer was cut")));
          else end(() => settleWith({ response, chunks, resolve, reject }));
        });
      });
      sent.end(text);
    });
  return { call, close: () => agent.destroy() };
}

function settleWith(answer: {
  response: { statusCode?: number | undefined };
  chunks: readonly Buffer[];
  resolve: (answer: JsonAnswer) => void;
  reject: (error: Error) => void;
}): void {
  const text = Buffer.concat(answer.chunks).toString("utf8");
  try {
    const body: unknown = text === "" ? undefined : JSON.parse(text);
    answer.resolve({ status: answer.response.statusCode ?? 0, body });
  } catch (error) {
    answer.reject(error instanceof Error ? error : new Error(String(error)));
  }
}
