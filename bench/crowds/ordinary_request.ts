import { randomBytes } from "node:crypto";
import { Agent, request } from "node:http";
import type { ClientRequest } from "node:http";
import { CLIENT_KEY } from "../../platform/testing/entry_fleet.ts";
import { splitAddress } from "../../src/connection/http_listener.ts";

/** A request that is sent slowly, on a connection that is kept. */
export interface SlowBody {
  /** Status of the answer, or the error with which the connection ended. */
  readonly status: Promise<number | string>;
  /** Sends the rest of the body, in parts. */
  finish(): Promise<void>;
  /** Sends a further request on the same connection, on no other. Returns its status or error. */
  again(): Promise<number | string>;
}

/** Bytes of the body of an ordinary request. */
const BODY_BYTES = 1_000;
/** Time that a caller waits by default, in milliseconds. */
const DEADLINE = 50_000;
const SLOW_PARTS = 10;
/** Milliseconds between two parts of a slow body. */
const PART_INTERVAL = 50;

/**
 * Sends one complete request inside all limits on a connection of its own.
 *
 * @param options `length` is the number of bytes of its body, `deadline` the time for which its caller waits, in milliseconds.
 * @returns The status of the answer, or the error with which the connection ended.
 */
export function askOrdinary(
  address: string,
  { length = BODY_BYTES, deadline }: { readonly length?: number; readonly deadline?: number } = {},
): Promise<number | string> {
  const sent = startRequest(address, { length, deadline });
  const status = statusOf(sent);
  sent.end(Buffer.alloc(length, "x"));
  return status;
}

/** Begins a request with a body of this length and sends the first part of it. */
export function openSlowBody(address: string, length: number): SlowBody {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const sent = startRequest(address, { length, agent });
  const part = Buffer.alloc(length / SLOW_PARTS, "x");
  const status = statusOf(sent);
  sent.write(part);
  return {
    status,
    finish: async () => {
      for (let written = 1; written < SLOW_PARTS; written++) {
        await new Promise((resolve) => setTimeout(resolve, PART_INTERVAL));
        sent.write(part);
      }
      sent.end();
    },
    again: () => {
      const next = startRequest(address, { length, agent });
      const nextStatus = statusOf(next);
      next.end(Buffer.alloc(length, "x"));
      return nextStatus.then((value) => (next.reusedSocket ? value : `${value}, not reused`));
    },
  };
}

function startRequest(
  address: string,
  {
    length,
    agent = false,
    deadline = DEADLINE,
  }: {
    readonly length: number;
    readonly agent?: Agent | false;
    readonly deadline?: number | undefined;
  },
): ClientRequest {
  const [host, port] = splitAddress(address);
  return request({
    host,
    port,
    path: "/safe/x",
    method: "POST",
    agent,
    headers: {
      host: "desk.example",
      "api-key": CLIENT_KEY,
      "x-request-id": randomBytes(8).toString("hex"),
      "x-request-deadline": String(deadline),
      "content-length": length,
    },
  });
}

function statusOf(sent: ClientRequest): Promise<number | string> {
  return new Promise((resolve) => {
    sent.on("error", (error) => resolve(error.message));
    sent.on("response", (response) => {
      response.on("error", (error) => resolve(error.message));
      response.on("end", () => resolve(response.statusCode ?? 0));
      response.resume();
    });
  });
}
