import type { EntryStance } from "../decision/index.ts";
import type {
  Member,
  PeerHandlers,
  Refusal,
  RelayEvent,
  RequestRecord,
} from "../interface/index.ts";

/** A request as a caller brings it, authenticated. */
export interface Submission {
  readonly account: string;
  readonly service: string;
  /** `MODEL` or `MODEL+ADAPTER`; empty for the service's first, and for plain services. */
  readonly model: string;
  /** HTTP path below the service, `/v1/chat/completions`; for plain services `METHOD /path`. */
  readonly path: string;
  readonly body: string;
  /** The caller's idempotency key; absent where it gave none. */
  readonly key?: string;
  /** False: runs at most once. Absent: as the service says. */
  readonly repeatable?: boolean;
  /** The caller doesn't wait: the answer is kept. */
  readonly detached: boolean;
  /** Milliseconds from now; absent: the service's target. */
  readonly deadline?: number;
  /** Index of the first token wanted, for a caller that has had the others. */
  readonly fromToken: number;
}

/** How a submission was turned away before it was accepted. */
export interface Rejection {
  readonly reason: Refusal;
  /** True only where it is certain that no backend server has run it or will. */
  readonly notRun: boolean;
  /** Milliseconds, where a later try may do better. */
  readonly retryAfter?: number;
  /** A plain sentence: what was tried and what was found. */
  readonly detail: string;
  /** The request's id, where one exists to ask with. */
  readonly id?: string;
}

/** What a caller gets of its request, in order: accepted, tokens each once, one end. */
export type CallerEvent =
  | { readonly kind: "rejected"; readonly rejection: Rejection }
  | Exclude<RelayEvent, { kind: "moved" }>;

/** The requests of one entry instance, for callers' connections, peers and the tasks of the process. */
export interface RequestService {
  /** Runs a request for a caller, here or at its owner; the iteration ends with the end. */
  submit(submission: Submission, signal: AbortSignal): AsyncIterable<CallerEvent>;
  /** Follows a request that exists. */
  follow(
    id: string,
    options: { account: string; fromToken: number; signal: AbortSignal },
  ): AsyncIterable<CallerEvent>;
  /** The record of a request as its owner has it. */
  find(id: string, account: string): Promise<RequestRecord | Rejection>;
  cancel(id: string, account: string): Promise<RequestRecord | Rejection>;
  /** Answers to peers. */
  readonly handlers: Pick<PeerHandlers, "replicate" | "cede" | "relay" | "ask">;
  /**
   * Copies the records of slots that this instance owns to a member that is to become their backup.
   *
   * @returns True once the member has them all.
   */
  copyTo(slots: readonly number[], member: Member): Promise<boolean>;
  /** Takes only what the stance allows from now on; what was accepted goes on. */
  setStance(stance: EntryStance): void;
  /** Takes no new requests from now on; those in progress go on. */
  stopTaking(): void;
  /** Resolves once nothing is in progress here: neither as owner nor on the way to another owner. */
  whenIdle(): Promise<void>;
  /** Hands every slot over at once, to the named backup or else into custody, without the store. */
  cedeAll(): Promise<void>;
  /** Requests accepted and not ended of which this instance is the owner. */
  inProgress(): number;
  close(): void;
}
