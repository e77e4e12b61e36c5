import type { IncomingMessage, ServerResponse } from "node:http";

/** A body that is longer than its bound. */
export class BodyTooLarge extends Error {
  override readonly name = "BodyTooLarge";
}

/**
 * Reads a request's body up to a bound.
 *
 * @param message The request.
 * @param most Greatest number of bytes.
 * @returns The body as text.
 * @throws {BodyTooLarge} As soon as more than `most` bytes have come.
 */
export async function readBody(message: IncomingMessage, most: number): Promise<string> {
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
