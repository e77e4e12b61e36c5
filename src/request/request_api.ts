import type { EntryMode } from "../decision/index.ts";
import type {
  Member,
  PeerHandlers,
  Refusal,
  RelayEvent,
  RequestRecord,
} from "../interface/index.ts";

/** An authenticated request from a caller. */
export interface Submission {
  /** Name of the client account. */
  readonly account: string;
  /** Name of the service. */
  readonly service: string;
  /** `MODEL` or `MODEL+ADAPTER`. Empty for the service's first model, and for plain services. */
  readonly model: string;
  /**
   * HTTP path below the service, such as `/v1/chat/completions`; for plain services `METHOD /path`.
   */
  readonly path: string;
  /** Body of the HTTP request. */
  readonly body: string;
  /** The caller's idempotency key; absent if it sent none. */
  readonly key?: string;
  /** False if the request must run at most once. Absent: the service's setting applies. */
  readonly repeatable?: boolean;
  /** Whether the caller does not wait and fetches the stored answer later. */
  readonly detached: boolean;
  /** Milliseconds from now. Absent: the service's target applies. */
  readonly deadline?: number;
  /**
   * Index of the first token wanted; greater than 0 for a caller that already has the earlier ones.
   */
  readonly fromToken: number;
}

/** A refusal of a submission before it was accepted. */
export interface Rejection {
  readonly reason: Refusal;
  /** True only if it is certain that no backend server has run or will run the request. */
  readonly notRun: boolean;
  /** Milliseconds after which a retry may succeed. */
  readonly retryAfter?: number;
  /** One sentence that states what was attempted and what was found. */
  readonly detail: string;
  /** The request id, if the caller can ask for the request with it. */
  readonly id?: string;
}

/** An event for the caller. The order is: acceptance, each token once, one end. */
export type CallerEvent =
  | { readonly kind: "rejected"; readonly rejection: Rejection }
  | Exclude<RelayEvent, { kind: "moved" }>;

/**
 * The requests of one entry instance. Used by callers' connections, by peers and by the process's
 * tasks.
 */
export interface RequestService {
  /**
   * Runs a request for a caller, here or at its owner. The iteration ends after the final event.
   */
  submit(submission: Submission, signal: AbortSignal): AsyncIterable<CallerEvent>;
  /** Follows an existing request. */
  follow(
    id: string,
    options: { account: string; fromToken: number; signal: AbortSignal },
  ): AsyncIterable<CallerEvent>;
  /** Returns the record of a request from its owner. */
  find(id: string, account: string): Promise<RequestRecord | Rejection>;
  /** Cancels a request and returns its record from its owner. */
  cancel(id: string, account: string): Promise<RequestRecord | Rejection>;
  /** Handlers for messages from peers. */
  readonly handlers: Pick<PeerHandlers, "replicate" | "cede" | "relay" | "ask">;
  /**
   * Copies the records of slots that this instance owns to a member that is about to become their
   * backup.
   *
   * @returns True once the member has all of them.
   */
  copyTo(slots: readonly number[], member: Member): Promise<boolean>;
  /**
   * Whether the slot's backup can become its primary without loss, because it has the whole history
   * and the current state of every record.
   *
   * @param epoch Epoch of the assignment that the new one is to replace.
   */
  isBackupReady(slot: number, epoch: number): boolean;
  /** Restricts new requests to those that the mode allows. Accepted requests continue. */
  setEntryMode(mode: EntryMode): void;
  /** Stops accepting new requests. Requests in progress continue. */
  stopAccepting(): void;
  /** Resolves once no request is in progress here, whether owned or forwarded to another owner. */
  whenIdle(): Promise<void>;
  /**
   * Hands over every slot at once, without the store: to its assigned backup, or else into custody.
   */
  handOverAll(): Promise<void>;
  /** Returns the number of accepted requests that this instance owns and that have not ended. */
  inProgress(): number;
  close(): void;
}
