import type { ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { hasUnparsedBytes } from "./unparsed_bytes.ts";

/** The end of a caller's connection in a planned stop, for one request on it. */
export interface ConnectionEnd {
  /** Whether an earlier response ends the connection, so that this request can't be answered on it. */
  readonly isEnding: boolean;
  /** Whether the connection ends with the response to this request. */
  readonly endsWithResponse: boolean;
  /** Calls `send` when the responses to all earlier requests on the connection have closed, which may be at once. */
  whenFirst(send: () => void): void;
  /**
   * Lets the connection end with the response to this request, unless a later request has already arrived on it.
   *
   * @returns Whether it ends.
   */
  endWithResponse(): boolean;
}

/** The callers' connections on which requests have arrived. */
export interface CallerConnections {
  /** Adds a request, known by its response, that has arrived on a connection. */
  add(connection: Duplex, response: ServerResponse): ConnectionEnd;
}

interface ConnectionState {
  /** The response to the request that arrived last. */
  latest: ServerResponse;
  /** The responses that have not closed, in the order of their requests, and what waits for them to be the first. */
  readonly open: Map<ServerResponse, (() => void) | undefined>;
  isEnding: boolean;
}

/**
 * Creates the record of callers' connections without any.
 *
 * Callers may send a request before they have the response to the one before. Without this record, that response
 * would end the connection in a planned stop, and with it the later request, which a worker may already run.
 */
export function createCallerConnections(): CallerConnections {
  const states = new WeakMap<Duplex, ConnectionState>();
  return {
    add: (connection, response) => {
      const state = states.get(connection) ?? {
        latest: response,
        open: new Map<ServerResponse, (() => void) | undefined>(),
        isEnding: false,
      };
      states.set(connection, state);
      state.open.set(response, undefined);
      response.once("close", () => {
        state.open.delete(response);
        sendFirst(state);
      });
      const { isEnding } = state;
      if (!isEnding) state.latest = response;
      return {
        isEnding,
        get endsWithResponse() {
          return state.isEnding && state.latest === response;
        },
        whenFirst: (send) => {
          if (!state.open.has(response)) return;
          state.open.set(response, send);
          sendFirst(state);
        },
        endWithResponse: () => {
          if (state.latest !== response || hasUnparsedBytes(connection)) return false;
          state.isEnding = true;
          return true;
        },
      };
    },
  };
}

/** Sends the first response of a connection if it is known. */
function sendFirst({ open }: ConnectionState): void {
  const [first] = open;
  const [response, send] = first ?? [];
  if (response === undefined || send === undefined) return;
  open.set(response, undefined);
  send();
}
