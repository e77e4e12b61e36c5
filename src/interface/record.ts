/** Where a request stands. The order is the order of its life. */
export enum RequestState {
  /** The owner and its backup have it. */
  Accepted = "accepted",
  /** The backup knows that it may be sent from now on: required before what may not be repeated is sent. */
  DispatchIntent = "dispatch-intent",
  Dispatched = "dispatched",
  Streaming = "streaming",
  Complete = "complete",
  /** No backend server has run any part of it, or ever will. */
  NotRun = "not-run",
  MayHaveRun = "may-have-run",
  Cancelled = "cancelled",
}

/** Why a request was turned away or ended other than complete; each is counted. */
export enum Refusal {
  None = "none",
  Unauthenticated = "unauthenticated",
  Forbidden = "forbidden",
  BadRequest = "bad-request",
  TooLarge = "too-large",
  UnknownService = "unknown-service",
  UnknownModel = "unknown-model",
  UnknownRequest = "unknown-request",
  /** The same key came with another body. */
  KeyConflict = "key-conflict",
  /** The key is older than the retention of answered keys. */
  KeyExpired = "key-expired",
  /** Both owners of the slot died unannounced: what the key once did is not known. */
  HistoryLost = "history-lost",
  AccountLimit = "account-limit",
  QueueFull = "queue-full",
  /** The deadline can't be met. */
  TooLate = "too-late",
  DeadlinePassed = "deadline-passed",
  NoBackendServer = "no-backend-server",
  EntryOverloaded = "entry-overloaded",
  Draining = "draining",
  /** The instance has heard neither the store nor a peer and can't know what is in force. */
  CutOff = "cut-off",
  /** The slot's owner can't be reached or can't act yet. */
  OwnerUnavailable = "owner-unavailable",
  /** Entry instances disagree on the slot's owner for longer than two hops. */
  StaleRoute = "stale-route",
  BackupUnavailable = "backup-unavailable",
  BackendFailed = "backend-failed",
  /** The backend server went away after the request was sent to it. */
  BackendLost = "backend-lost",
  RetryBudget = "retry-budget",
  CancelledByCaller = "cancelled-by-caller",
}

/** Why a request was sent again, or tokens were computed again; each is counted. */
export enum RetryCause {
  ConnectFailed = "connect-failed",
  SilentConnection = "silent-connection",
  BackendError = "backend-error",
  WorkerReclaimed = "worker-reclaimed",
  WorkerLost = "worker-lost",
  OwnerMoved = "owner-moved",
  StaleEpoch = "stale-epoch",
  Hedge = "hedge",
  CacheLost = "cache-lost",
}

/** A request as its owner and its backup keep it. */
export interface RequestRecord {
  readonly id: string;
  readonly slot: number;
  readonly account: string;
  readonly service: string;
  readonly state: RequestState;
  /** False: runs at most once. */
  readonly repeatable: boolean;
  /** True: the answer is kept until it is fetched or expires. */
  readonly detached: boolean;
  /** True where the id comes from the caller's own idempotency key. */
  readonly keyed: boolean;
  /** Hash of the body, to tell a key that is used again for another request. */
  readonly fingerprint: string;
  /** HTTP path below the service, `/v1/chat/completions`; for plain services `METHOD /path`. */
  readonly path: string;
  readonly body: string;
  readonly attempt: number;
  /** The worker's id that the current attempt was sent to, or empty. */
  readonly worker: string;
  /** The answer so far. In a replication message only those from `tokensFrom` on. */
  readonly tokens: readonly string[];
  readonly tokensFrom: number;
  readonly reason: Refusal;
  /** More about the end: the engine's finish reason, or a plain answer's body. */
  readonly detail: string;
  /** Calendar time in milliseconds. */
  readonly acceptedAt: number;
  /** Calendar time in milliseconds. */
  readonly deadlineAt: number;
  /** Grows with each change of the record; the higher one is the later. */
  readonly sequence: number;
}

/**
 * Says whether a state is final.
 *
 * @param state The state of a record.
 * @returns True for the four ends.
 */
export function hasEnded(state: RequestState): boolean {
  return (
    state === RequestState.Complete ||
    state === RequestState.NotRun ||
    state === RequestState.MayHaveRun ||
    state === RequestState.Cancelled
  );
}
