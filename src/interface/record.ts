/** The state of a request. The members are in the order in which a request goes through them. */
export enum RequestState {
  /** The owner and its backup have the request. */
  Accepted = "accepted",
  /** The backup has recorded that the request may be sent. Required before an at-most-once request is sent. */
  DispatchIntent = "dispatch-intent",
  Dispatched = "dispatched",
  Streaming = "streaming",
  Complete = "complete",
  /** No backend server has run any part of the request, and none ever will. */
  NotRun = "not-run",
  MayHaveRun = "may-have-run",
  Cancelled = "cancelled",
}

/** Why a request was refused or did not complete. Each reason has a counter. */
export enum Refusal {
  None = "none",
  Unauthenticated = "unauthenticated",
  Forbidden = "forbidden",
  BadRequest = "bad-request",
  TooLarge = "too-large",
  UnknownService = "unknown-service",
  UnknownModel = "unknown-model",
  UnknownRequest = "unknown-request",
  /** The idempotency key was used before with another body. */
  KeyConflict = "key-conflict",
  /** The idempotency key is older than the retention time of completed requests. */
  KeyExpired = "key-expired",
  /** Both owners of the slot were lost without a handover, so it is unknown whether the key has been used. */
  HistoryLost = "history-lost",
  AccountLimit = "account-limit",
  QueueFull = "queue-full",
  /** The request can't be completed before its deadline. */
  TooLate = "too-late",
  DeadlinePassed = "deadline-passed",
  NoBackendServer = "no-backend-server",
  EntryOverloaded = "entry-overloaded",
  Draining = "draining",
  /** The instance has reached neither the store nor a peer, so its configuration may be outdated. */
  CutOff = "cut-off",
  /** The slot's owner can't be reached, or is not yet allowed to act. */
  OwnerUnavailable = "owner-unavailable",
  /** The request was forwarded twice without reaching the slot's owner, because entry instances disagree on it. */
  StaleRoute = "stale-route",
  BackupUnavailable = "backup-unavailable",
  BackendFailed = "backend-failed",
  /** The backend server was lost after the request was sent to it. */
  BackendLost = "backend-lost",
  RetryBudget = "retry-budget",
  CancelledByCaller = "cancelled-by-caller",
}

/** Why a request was sent again or tokens were computed again. Each cause has a counter. */
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

/** A request as stored by its owner and its backup. */
export interface RequestRecord {
  readonly id: string;
  readonly slot: number;
  readonly account: string;
  readonly service: string;
  readonly state: RequestState;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Whether the response is kept until the caller fetches it or it expires. */
  readonly detached: boolean;
  /** Whether the id is derived from the caller's idempotency key. */
  readonly keyed: boolean;
  /** Hash of the body. It shows whether an idempotency key is reused for a different request. */
  readonly fingerprint: string;
  /** HTTP path below the service, such as `/v1/chat/completions`; for plain services `METHOD /path`. */
  readonly path: string;
  readonly body: string;
  /** The number of the current attempt. */
  readonly attempt: number;
  /** Id of the worker that the current attempt was sent to; empty if there is none. */
  readonly worker: string;
  /** The tokens of the response so far. A replication message contains only those from `tokensFrom` on. */
  readonly tokens: readonly string[];
  /** Index of the first token in `tokens`. */
  readonly tokensFrom: number;
  readonly reason: Refusal;
  /** Details of the end: the engine's finish reason, or the body of a plain response. */
  readonly detail: string;
  /** When the request was accepted, in Unix milliseconds. */
  readonly acceptedAt: number;
  /** The request's deadline, in Unix milliseconds. */
  readonly deadlineAt: number;
  /**
   * Increases with each change of the record. Of two copies from the same epoch, the one with the higher number is the
   * later. A copy from a later epoch replaces one from an earlier epoch, whatever their numbers.
   */
  readonly sequence: number;
}

/**
 * Returns whether a state is final.
 *
 * @param state The state of a record.
 * @returns True for complete, not run, may have run and cancelled.
 */
export function isFinalRequestState(state: RequestState): boolean {
  return (
    state === RequestState.Complete ||
    state === RequestState.NotRun ||
    state === RequestState.MayHaveRun ||
    state === RequestState.Cancelled
  );
}
