/** How a response states where its body ends. */
export enum BodyFraming {
  /** With a length, or without a body. */
  Length = "length",
  /** With chunked transfer coding. */
  Chunks = "chunks",
  /** With neither: the body ends with the connection. */
  Connection = "connection",
}

/** The status and the headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly framing: BodyFraming;
  /** Header names as received and values, alternating. */
  readonly headers: readonly string[];
  /** Header values by lower-case name. For a repeated header, the last value. */
  readonly byName: ReadonlyMap<string, string>;
}

/** A request as it is sent to a worker. */
export interface WorkerRequest {
  readonly method: string;
  /** Path and query, as received from the caller. */
  readonly target: string;
  /** Header names and values, alternating, without those that frame the body. Read when the request is sent. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** The request id that the response must echo; undefined if the caller sent none. */
  readonly id: string | undefined;
}

/** Why no connection to a worker was opened. */
export enum DialFailure {
  /** The machine is reachable, but no process listens at the worker's address. */
  Refused = "refused",
  /** There was no response in time, or the network failed. */
  Unanswered = "unanswered",
  /** The instance has no path to workers. This is no evidence about the worker. */
  NoPath = "no-path",
}

/** How an exchange with a worker ended. */
export type ExchangeEnd =
  /** The response is complete. */
  | { readonly kind: "complete" }
  /** No byte was sent, so the request has not run. */
  | {
      readonly kind: "not-sent";
      readonly detail: string;
      readonly cause: DialFailure;
    }
  /** The process at the address isn't the one that the endpoint describes. No byte was sent to it. */
  | { readonly kind: "replaced"; readonly detail: string }
  /** The request may have run. The response is missing or incomplete. */
  | {
      readonly kind: "broken";
      readonly detail: string;
      /** Whether it broke at the instance that relays the connection, which is no evidence about the worker. */
      readonly isRelayFault?: boolean;
    };

/** Receives the response of an exchange. `end` is the last call. */
export interface ExchangeSink {
  head(head: ResponseHead): void;
  data(chunk: Buffer): void;
  end(end: ExchangeEnd): void;
}

/** A request in progress at a worker. */
export interface Exchange {
  /**
   * When the request was sent, in the clock's milliseconds; undefined while its connection is being opened and its
   * worker's process is being identified.
   */
  readonly sentAt: number | undefined;
  /** Stops reading from the worker while the caller is slow to read the response. */
  pause(): void;
  /**
   * Stops reading as soon as something arrives, and reports it only after {@linkcode Exchange.resume}. If the connection
   * ends before, the exchange ends at once.
   */
  hold(): void;
  /** Continues reading after {@linkcode Exchange.pause} or {@linkcode Exchange.hold}. */
  resume(): void;
  /** Aborts the exchange and closes its connection. The sink gets no more calls. */
  abort(): void;
  /**
   * Ends the exchange like {@linkcode Exchange.abort}, after the head of its response. If the rest of the response is short
   * and arrives soon, the connection is kept for another exchange.
   */
  discard(): void;
}

/** A worker that a request is sent to. */
export interface WorkerEndpoint {
  readonly id: string;
  /** When the worker's process started, in Unix milliseconds. A restarted worker may keep its id. */
  readonly startedAt: number;
  /** `IP:PORT`. */
  readonly address: string;
}

/** Options of {@linkcode WorkerConnections.exchange}. */
export interface ExchangeOptions {
  readonly sink: ExchangeSink;
  /** Whether the request may be sent again. If not, it is sent only on a connection that is known to be open. */
  readonly repeatable: boolean;
  /**
   * Whether the worker's process must be the one that the endpoint describes, which is verified once for each
   * connection. Otherwise another process with the same id may get the request.
   */
  readonly needsProcess?: boolean;
  /** The maximum number of connections that this instance may have open to the worker. */
  readonly maxConnections: number;
}

/** The result of a connection attempt that only checks whether a worker accepts connections. */
export enum ConnectResult {
  Accepted = "accepted",
  /** The machine is reachable, but no process listens at the address. */
  Refused = "refused",
  /** There was no response in time, or the network failed. */
  Unanswered = "unanswered",
}

/** What an instance has exchanged with a worker lately. Times are in milliseconds of the clock. */
export interface WorkerActivity {
  /** When a request was last sent to the worker; undefined if none was. */
  readonly lastSentAt: number | undefined;
  /** When data was last received from the worker; undefined if never. */
  readonly lastReceivedAt: number | undefined;
  /** Whether the worker has yet to answer a request. Those whose answers are not being read are not counted. */
  readonly hasPendingResponse: boolean;
}

/** This instance's connections to all workers. */
export interface WorkerConnections {
  /**
   * Sends a request to a worker.
   *
   * @returns The exchange, or undefined if the maximum number of connections is in use.
   */
  exchange(
    place: WorkerEndpoint,
    request: WorkerRequest,
    options: ExchangeOptions,
  ): Exchange | undefined;
  /** Checks whether the worker's process accepts connections. */
  tryConnect(place: WorkerEndpoint): Promise<ConnectResult>;
  /** Finds out whether the direct path to a worker that didn't answer is lost, although another instance reaches it. */
  hasLostPath(place: WorkerEndpoint): Promise<boolean>;
  /** Closes the idle connections of all workers except those with the given ids. Exchanges in progress continue. */
  retainWorkers(ids: ReadonlySet<string>): void;
  /** Returns what this instance has exchanged with the worker lately; undefined if it has no connection to it. */
  activity(id: string): WorkerActivity | undefined;
  /** The number of connections opened so far. */
  readonly openedCount: number;
  /** Closes all connections. */
  close(): void;
}
