import type { IncomingMessage } from "node:http";
import { createBodyStorage } from "./body_storage.ts";
import type { RequestMemory } from "./request_memory.ts";

/** Bytes of requests' bodies that have arrived. */
const receivedBytes = new WeakMap<IncomingMessage, number>();

/** Counts bytes of a request's body that have arrived. */
export function countBodyBytes(request: IncomingMessage, bytes: number): void {
  receivedBytes.set(request, (receivedBytes.get(request) ?? 0) + bytes);
}

/** Returns the number of bytes of a request's body that have arrived, without its framing. */
export function receivedBodyBytes(request: IncomingMessage): number {
  return (receivedBytes.get(request) ?? 0) + request.readableLength;
}

/** Requests of whose bodies nothing more is read. */
const givenUp = new WeakSet<IncomingMessage>();

/** Ends the reading of a request's body for good: its response closes the connection. */
export function giveUpBody(request: IncomingMessage): void {
  givenUp.add(request);
}

/** Whether nothing more of a request's body is read. */
export function isBodyGivenUp(request: IncomingMessage): boolean {
  return givenUp.has(request);
}

/** The end of reading a body. */
export type BodyEnd =
  | { readonly kind: "complete"; readonly body: Buffer }
  /** It exceeds its size limit. */
  | { readonly kind: "too-large" };

/** A body that is being read. */
export interface BodyReading {
  /** Forgets what has arrived and ignores the rest. `done` is not called any more. */
  stop(): void;
}

/**
 * Reads the body of a request.
 *
 * @param limit Maximum size of the body in bytes.
 * @param options `memory` counts what has arrived. `done` is called at the end of the body, or as soon as it exceeds the
 * limit.
 */
export function readCallerBody(
  request: IncomingMessage,
  limit: number,
  options: {
    readonly memory: Pick<RequestMemory, "setBody">;
    readonly done: (end: BodyEnd) => void;
  },
): BodyReading {
  const { memory, done } = options;
  const storage = createBodyStorage();
  let isReading = true;
  const stop = (): void => {
    isReading = false;
    storage.take();
  };
  if (Number(request.headers["content-length"] ?? 0) > limit) {
    done({ kind: "too-large" });
    return { stop };
  }
  request.on("data", (piece: Buffer) => {
    countBodyBytes(request, piece.length);
    if (!isReading) return;
    if (storage.length + piece.length > limit) {
      stop();
      memory.setBody(0);
      done({ kind: "too-large" });
      return;
    }
    const { capacity } = storage;
    storage.append(piece);
    if (storage.capacity !== capacity) memory.setBody(storage.capacity);
  });
  request.on("end", () => {
    if (!isReading) return;
    isReading = false;
    const body = storage.take();
    memory.setBody(body.length);
    done({ kind: "complete", body });
  });
  return { stop };
}
