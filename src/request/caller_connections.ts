import type { ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/** The end of a caller's connection in a planned stop, for one request on it. */
export interface ConnectionEnd {
  /** Whether an earlier response ends the connection, so that this request can't be answered on it. */
  readonly isEnding: boolean;
  /** Whether the connection ends with the response to this request. */
  readonly endsWithResponse: boolean;
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
      const state = states.get(connection) ?? { latest: response, isEnding: false };
      states.set(connection, state);
      const { isEnding } = state;
      if (!isEnding) state.latest = response;
      return {
        isEnding,
        get endsWithResponse() {
          return state.isEnding && state.latest === response;
        },
        endWithResponse: () => {
          if (state.latest !== response) return false;
          state.isEnding = true;
          return true;
        },
      };
    },
  };
}
