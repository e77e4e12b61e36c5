import type { Refusal } from "../interface/index.ts";

/** Short and long work are kept apart, so that neither waits behind the other. */
export enum Lane {
  Lookup = "lookup",
  Script = "script",
}

/** A request as the decisions see it. All times are the clock's milliseconds. */
export interface Arrival {
  readonly id: string;
  readonly account: string;
  readonly service: string;
  /** `MODEL` or `MODEL+ADAPTER`; empty for a plain service. */
  readonly model: string;
  readonly lane: Lane;
  readonly promptTokens: number;
  /** The caller's own bound on the answer, if it gave one. */
  readonly maxTokens?: number;
  /**
   * Hashes of the prompt's leading blocks, each over all blocks up to it, so that two prompts share a
   * prefix exactly as far as their lists agree.
   */
  readonly prefix: readonly string[];
  /** Tokens of the prompt that the whole list of hashes covers; all of them where not given. */
  readonly prefixTokens?: number;
  readonly repeatable: boolean;
  /** Nobody waits for the first token. */
  readonly detached: boolean;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
}

/** What a request is expected to cost. */
export interface Estimate {
  /** Tokens of work, prompt and answer, as queues and limits count them. */
  readonly work: number;
  /** Tokens of the answer. */
  readonly answerTokens: number;
  /** Tokens of KV cache at the end of the answer. */
  readonly cacheTokens: number;
  /** Milliseconds from dispatch to the last token on an unloaded worker. */
  readonly serviceTime: number;
  /** When it must be dispatched to meet its targets; its deadline where not given. */
  readonly startBy?: number;
}

/** An admitted request that waits or runs. */
export interface Job extends Arrival {
  readonly estimate: Estimate;
  /** Tokens that the caller has already, after a resume. */
  readonly resumedTokens: number;
}

/** Whether a request is let in. */
export type Admission =
  | { readonly kind: "admitted"; readonly job: Job }
  | {
      readonly kind: "refused";
      readonly reason: Refusal;
      /** Milliseconds after which a new try is likely to be admitted. */
      readonly retryAfter: number;
    };

/** Where a job goes. */
export type Placement =
  | { readonly kind: "placed"; readonly worker: string }
  /** No worker has room now. */
  | { readonly kind: "wait" };
