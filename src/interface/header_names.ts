/** Header names of routed requests and their responses, all in lower case. */
export interface HeaderNames {
  /** The caller's id of one attempt. The worker echoes it in the response. */
  readonly requestId: string;
  /** Milliseconds for which the sender will still wait for the response. */
  readonly deadline: string;
  /** The caller's API key. It is never forwarded. */
  readonly key: string;
  /** The client account's name, for the worker. */
  readonly account: string;
  /** Id of the worker that the request is for. Any other worker refuses it. */
  readonly expectedWorker: string;
  /** Response header: the worker did not run the request. */
  readonly notRun: string;
  /** Response header: the worker's limit in requests per second over all instances together, a decimal number. */
  readonly workerLimit: string;
  /** Response header: the worker ends if it has to reject more than this number of requests in a second. */
  readonly workerBrittleness: string;
  /** Response header with the value 1: the worker is about to leave and wants no further requests. */
  readonly workerLeaving: string;
  /** Priority at the engine, from 0 (admitted first) to 9 (admitted last). */
  readonly priority: string;
  /** Id of the last stream event that the caller has received. */
  readonly lastEventId: string;
  /** Id of the attempt that brought the first event of the stream whose rest the caller asks for. */
  readonly resumes: string;
  /** The number of prompt tokens and the maximum number of response tokens, separated by a comma. */
  readonly tokens: string;
  /** The parts of the prompt in order, as `ID:TOKENS` entries separated by commas. */
  readonly promptParts: string;
  /** Headers that only the system may set. They are removed from callers' requests. */
  readonly reserved: readonly string[];
}
