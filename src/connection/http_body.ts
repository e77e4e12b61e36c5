import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Timer } from "../interface/index.ts";

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

/**
 * Reads the body of a request.
 *
 * @param message The request.
 * @param maxBytes Maximum size of the body, in bytes.
 * @param options With a clock, reading times out after 30 seconds; without one, never.
 * @returns The body, decoded as UTF-8.
 * @throws {BodyTooLarge} As soon as more than the maximum number of bytes were received.
 * @throws {BodyTooSlow} If the body wasn't received in time.
 */
export async function readBody(
  message: IncomingMessage,
  maxBytes: number,
  options: { clock?: Clock } = {},
): Promise<string> {
  let timer: Timer | undefined;
  // The connection stays open so that the error response can be sent; it is closed after that.
  const timeout = new Promise<never>((_resolve, reject) => {
    timer = options.clock?.after(BODY_TIMEOUT, () => {
      reject(new BodyTooSlow(`The body wasn't received within ${BODY_TIMEOUT} ms.`));
    });
  });
  try {
    return await Promise.race([readText(message, maxBytes), timeout]);
  } finally {
    timer?.close();
  }
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
