import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Timer } from "../interface/index.ts";
import { giveUpBody, readCallerBody } from "../request/index.ts";
import type { BodyEnd, RequestMemory } from "../request/index.ts";

/** Maximum size of the body of a caller's request, in bytes. */
export const MAX_BODY_BYTES = 4_000_000;
/**
 * Maximum size of the body of a response of the platform, another instance or a backend server, in bytes. A list of the
 * store has at most one megabyte, and the entries of all workers, as another instance has them, two at the size that the
 * design is meant for.
 */
export const MAX_RESPONSE_BYTES = 8_388_608;
/** Timeout for receiving a whole request body, in milliseconds. */
const BODY_TIMEOUT = 30_000;

/** Thrown if a body exceeds its size limit. */
export class BodyTooLarge extends Error {
  override readonly name = "BodyTooLarge";
}

/** Thrown if a body wasn't received within its timeout, which protects against slow-loris attacks. */
export class BodyTooSlow extends Error {
  override readonly name = "BodyTooSlow";
}

/** Thrown if a body was given up because too much is kept for callers, most of it for this one. */
export class BodyGivenUp extends Error {
  override readonly name = "BodyGivenUp";
}

/** Options of {@linkcode readBody}. */
export interface BodyOptions {
  /** With a clock, reading times out after 30 seconds; without one, never. */
  readonly clock?: Clock;
  /** Counts the body until the request is answered; by default it isn't counted. */
  readonly memory?: RequestMemory;
}

/** Copies of a complete body that are kept: its bytes, its text and what is parsed of it. */
const COPIES = 3;

/**
 * Reads the body of a request.
 *
 * @param message The request.
 * @param maxBytes Maximum size of the body, in bytes.
 * @returns The body, decoded as UTF-8.
 * @throws {BodyTooLarge} As soon as more than the maximum number of bytes were received.
 * @throws {BodyTooSlow} If the body wasn't received in time.
 * @throws {BodyGivenUp} If too much is kept for callers.
 */
export async function readBody(
  message: IncomingMessage,
  maxBytes: number,
  options: BodyOptions = {},
): Promise<string> {
  let timer: Timer | undefined;
  // The connection stays open so that the error response can be sent; it is closed after that.
  const timeout = new Promise<never>((_resolve, reject) => {
    timer = options.clock?.after(BODY_TIMEOUT, () => {
      reject(new BodyTooSlow(`The body wasn't received within ${BODY_TIMEOUT} ms.`));
    });
  });
  try {
    const body = await Promise.race([receiveBody(message, maxBytes, options.memory), timeout]);
    return body.toString("utf8");
  } finally {
    timer?.close();
  }
}

function receiveBody(
  message: IncomingMessage,
  maxBytes: number,
  memory: RequestMemory | undefined,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const giveUp = (): void => {
      reading.stop();
      giveUpBody(message);
      reject(new BodyGivenUp("Too much is kept for callers, most of it for this one."));
    };
    const done = (end: BodyEnd): void => {
      memory?.setRefusal(undefined);
      if (end.kind === "too-large") {
        reject(new BodyTooLarge(`The body is larger than the limit of ${maxBytes} bytes.`));
        return;
      }
      memory?.setBody(end.body.length * COPIES);
      if (memory?.keep() === false) giveUp();
      else resolve(end.body);
    };
    memory?.setRefusal(giveUp);
    const setBody = (bytes: number): void => memory?.setBody(bytes);
    const reading = readCallerBody(message, maxBytes, { memory: { setBody }, done });
    message.once("close", () => reject(new Error("The caller closed the connection.")));
  });
}

/**
 * Reads a body to its end.
 *
 * @returns The body, decoded as UTF-8.
 * @throws {BodyTooLarge} As soon as more than the maximum number of bytes were received; the connection is closed.
 */
export async function readText(
  body: AsyncIterable<Uint8Array>,
  maxBytes = MAX_RESPONSE_BYTES,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > maxBytes)
      throw new BodyTooLarge(`The body is larger than the limit of ${maxBytes} bytes.`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Sends a JSON response and ends it; the status is 200 unless given. */
export function sendJson(
  response: ServerResponse,
  value: unknown,
  options: { status?: number; headers?: Readonly<Record<string, string>> } = {},
): void {
  response.writeHead(options.status ?? 200, {
    "content-type": "application/json",
    ...options.headers,
  });
  response.end(JSON.stringify(value));
}

/** Writes one server-sent event with a JSON value as its data. */
export function sendEvent(response: ServerResponse, value: unknown): void {
  response.write(`data: ${JSON.stringify(value)}\n\n`);
}
