import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerMemory, CallerOrigin } from "../decision/index.ts";

/** What is kept for one request of a caller until its response has closed. */
export interface RequestMemory {
  /** Sets the client account, once it is known. */
  setAccount(account: string | undefined): void;
  /** Sets the bytes kept of the request's body. */
  setBody(bytes: number): void;
  /** Sets the bytes of the response that were written and wait until the caller reads them. */
  setUnread(bytes: number): void;
  /** Sets how the request is given up before it is sent to a worker; undefined if it can't be any more. */
  setRefusal(refuse: (() => void) | undefined): void;
  /** Keeps the request until it is answered. Returns false if its caller keeps too much already. */
  keep(): boolean;
}

/**
 * Bytes that a request takes in the process beside its body: the objects of Node.js and of this program, with the usual
 * headers.
 */
const REQUEST_BYTES = 8_192;
/** Bytes for each header: its name, its value and their places in the tables. */
const HEADER_BYTES = 96;

/**
 * Begins to count what is kept for a request. Above the limit it is refused, or its connection is closed if its caller doesn't
 * read the response.
 */
export function openRequestMemory(
  memory: CallerMemory,
  request: IncomingMessage,
  response: ServerResponse,
): RequestMemory {
  const { socket } = request;
  const origin: CallerOrigin = {
    address: () => socket.remoteAddress ?? "",
    account: undefined,
  };
  let refuse: (() => void) | undefined;
  let body = 0;
  let unread = 0;
  const release = (): boolean => {
    if (refuse === undefined && unread === 0) return false;
    hold.close();
    if (refuse !== undefined) refuse();
    else response.destroy();
    return true;
  };
  const hold = memory.open(origin, release);
  const base = REQUEST_BYTES + headerBytes(request);
  const count = (): void => hold.set(base + body + unread);
  count();
  response.once("close", () => hold.close());
  return {
    setAccount: (account) => void (origin.account = account),
    setBody: (bytes) => {
      body = bytes;
      count();
    },
    setUnread: (bytes) => {
      if (bytes === unread) return;
      unread = bytes;
      count();
    },
    setRefusal: (changed) => void (refuse = changed),
    keep: () => hold.keep(),
  };
}

function headerBytes({ rawHeaders, url = "" }: IncomingMessage): number {
  const text = rawHeaders.reduce((sum, { length }) => sum + length, url.length);
  return text + (rawHeaders.length / 2) * HEADER_BYTES;
}
