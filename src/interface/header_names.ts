/** Names of the headers that routed requests and their answers carry; all in lower case. */
export interface HeaderNames {
  /** The caller's id of one attempt; echoed by the worker. */
  readonly requestId: string;
  /** Milliseconds that whoever sent the request will still wait. */
  readonly deadline: string;
  /** The caller's key; never passed on. */
  readonly key: string;
  /** Tells the worker the client account's name. */
  readonly account: string;
  /** Names the worker that is meant: any other refuses the request. */
  readonly expectedWorker: string;
  /** On an answer: the worker did not run the request. */
  readonly notRun: string;
  /** On an answer: the requests a second that the worker takes from all instances together, a decimal number. */
  readonly workerLimit: string;
  /** 0 is admitted first by an engine, 9 last. */
  readonly priority: string;
  /** The last event that the caller has of a stream. */
  readonly lastEventId: string;
  /** Prompt tokens and the greatest number of answer tokens, with a comma between. */
  readonly tokens: string;
  /** The parts of the prompt in order: entries ID:TOKENS with commas between. */
  readonly promptParts: string;
  /** Headers that only the system may set; dropped from what callers send. */
  readonly reserved: readonly string[];
}
