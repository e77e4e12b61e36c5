/** The status line and the header lines of an answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names as they came and values, by turns. */
  readonly headers: readonly string[];
  /** Values by lower-case name; of a repeated header the last. */
  readonly byName: ReadonlyMap<string, string>;
}

/** A request as it is written to a worker. */
export interface WorkerRequest {
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  /** Names and values by turns, without the framing of the body. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** What the answer must echo; undefined where the caller named none. */
  readonly id: string | undefined;
}

/** How an exchange on a connection ended. */
export type ExchangeEnd =
  /** The answer is whole. */
  | { readonly kind: "complete" }
  /** No byte was taken: the request has certainly not run. */
  | {
      readonly kind: "not-sent";
      readonly detail: string;
      /** Whether nothing listens at the worker's address. */
      readonly isRefused: boolean;
    }
  /** The request may have run; the answer, if any came, isn't whole. */
  | { readonly kind: "broken"; readonly detail: string };

/** Who is told of an exchange. Nothing follows `end`. */
export interface ExchangeSink {
  head(head: AnswerHead): void;
  data(chunk: Buffer): void;
  end(end: ExchangeEnd): void;
}

/** A request under way at a worker. */
export interface Exchange {
  /** Stops reading while the caller is slow to take the answer. */
  pause(): void;
  resume(): void;
  /** Gives the exchange up and closes its connection; the sink is told nothing more. */
  abort(): void;
}

/** Where a request is sent. */
export interface WorkerPlace {
  readonly id: string;
  /** `IP:PORT`. */
  readonly address: string;
}

/** Options of {@linkcode WorkerConnections.exchange}. */
export interface ExchangeOptions {
  readonly sink: ExchangeSink;
  /** Whether the request may run again; one that may not gets a connection that is surely open. */
  readonly repeatable: boolean;
  /** Connections to the worker that this instance may have open. */
  readonly most: number;
}

/** What became of a connection that was opened only to see whether it is accepted. */
export enum Reach {
  Accepted = "accepted",
  /** The machine is there, and no process listens at the address. */
  Refused = "refused",
  /** Nothing came in time, or the way there is disturbed. */
  Unanswered = "unanswered",
}

/** This instance's connections to all workers. */
export interface WorkerConnections {
  /**
   * Sends a request.
   *
   * @returns Undefined where all connections that may be open are in use.
   */
  exchange(
    place: WorkerPlace,
    request: WorkerRequest,
    options: ExchangeOptions,
  ): Exchange | undefined;
  /** Finds out whether the worker's process listens. */
  reach(place: WorkerPlace): Promise<Reach>;
  /** Closes idle connections of workers that aren't in use any more; those in use go on to their end. */
  keepOnly(ids: ReadonlySet<string>): void;
  /** When bytes last came from the worker, in the clock's milliseconds. */
  heardAt(id: string): number | undefined;
  /** Connections opened so far. */
  readonly opened: number;
  close(): void;
}
