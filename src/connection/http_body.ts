import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Timer } from "../interface/index.ts";

/** Greatest body of a caller's request, in bytes. */
export const BODY_LIMIT = 4_000_000;
/** Milliseconds that a caller may take over its body. */
const BODY_TIME = 30_000;

/** A body that is longer than its bound. */
export class BodyTooLarge extends Error {
  override readonly name = "BodyTooLarge";
}

/** A body that took longer than its bound (slow-loris). */
export class BodyTooSlow extends Error {
  override readonly name = "BodyTooSlow";
}

/**
 * Reads a request's body up to a bound.
 *
 * @param message The request.
 * @param most Greatest number of bytes.
 * @param options With a clock, a body that takes longer than 30 s is given up.
 * @returns The body as text.
 * @throws {BodyTooLarge} As soon as more than `most` bytes have come.
 * @throws {BodyTooSlow} When the body takes too long.
 */
export async function readBody(
  message: IncomingMessage,
  most: number,
  options: { clock?: Clock } = {},
): Promise<string> {
  let timer: Timer | undefined;
  // The connection stays open for the answer that says so; it is closed with it.
  const tooSlow = new Promise<never>((_resolve, reject) => {
    timer = options.clock?.after(BODY_TIME, () => {
      reject(new BodyTooSlow(`The body took longer than ${BODY_TIME} ms.`));
    });
  });
  try {
    return await Promise.race([readAll(message, most), tooSlow]);
  } finally {
    timer?.close();
  }
}

async function readAll(message: IncomingMessage, most: number): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > most) throw new BodyTooLarge(`The body is longer than the bound of ${most} bytes.`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Answers with JSON. */
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

/** Sends one server-sent event. */
export function sendEvent(response: ServerResponse, value: unknown): void {
  response.write(`data: ${JSON.stringify(value)}\n\n`);
}
