import type { ServerResponse } from "node:http";
import { afterRunningTime } from "../interface/index.ts";
import type { Clock } from "../interface/index.ts";

/** Maximum time for which the rest of a refused request is read, in milliseconds. */
const LINGER_TIME = 2_000;

/**
 * Ends a response that refuses its request, possibly before the request's body has arrived.
 *
 * If the connection is to be closed after the response, it stays open until the body has been read. Closing a
 * connection with unread bytes resets it, and the caller, which still writes its body, would find a broken connection
 * in place of the refusal.
 *
 * @param response A response whose head was written, with its length.
 * @param body The whole body, which is sent at once.
 */
export function endAfterRequest(response: ServerResponse, body: Buffer, clock: Clock): void {
  const { req: request } = response;
  if (response.shouldKeepAlive || request.complete) {
    response.end(body);
    return;
  }
  response.write(body);
  const end = (): void => {
    timer.close();
    response.end();
  };
  const timer = afterRunningTime(clock, LINGER_TIME, end);
  request.once("end", end);
  response.once("close", () => timer.close());
  request.resume();
}
