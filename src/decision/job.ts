/**
 * Defines the types of requests and their placement that the scheduling decisions use.
 *
 * @module
 */
import type { Refusal } from "../interface/index.ts";

/** Short and long work have separate lanes, so that neither waits behind the other. */
export enum Lane {
  Lookup = "lookup",
  Script = "script",
}

/** An incoming request. All times are clock times in milliseconds. */
export interface Arrival {
  readonly id: string;
  readonly account: string;
  readonly service: string;
  /** `MODEL` or `MODEL+ADAPTER`; empty for a plain service. */
  readonly model: string;
  readonly lane: Lane;
  readonly promptTokens: number;
  /** The caller's own limit on the answer, if given. */
  readonly maxTokens?: number;
  /**
   * Hashes of the prompt's leading blocks, each over all blocks up to it, so that two prompts share
   * a prefix exactly as far as their lists are equal.
   */
  readonly prefix: readonly string[];
  /** Prompt tokens that the whole list of hashes covers; all prompt tokens by default. */
  readonly prefixTokens?: number;
  /** Whether the request may be run more than once. */
  readonly repeatable: boolean;
  /** Whether no caller waits for the first token. */
  readonly detached: boolean;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
}

/** The expected cost of a request. */
export interface Estimate {
  /** Tokens of work for prompt and answer, as counted by queues and limits. */
  readonly work: number;
  /** Tokens of the answer. */
  readonly answerTokens: number;
  /** Tokens of KV cache at the end of the answer. */
  readonly cacheTokens: number;
  /** Milliseconds from dispatch to the last token on an unloaded worker. */
  readonly serviceTime: number;
  /**
   * Latest dispatch time to meet the targets, in the clock's milliseconds; the request's deadline
   * if not given.
   */
  readonly startBy?: number;
}

/** An admitted request that waits or runs. */
export interface Job extends Arrival {
  readonly estimate: Estimate;
  /** Answer tokens that the caller already has, after a resume. */
  readonly resumedTokens: number;
}

/** Whether a request was admitted. */
export type Admission =
  | { readonly kind: "admitted"; readonly job: Job }
  | {
      readonly kind: "refused";
      readonly reason: Refusal;
      /** Milliseconds after which a new attempt is likely to be admitted. */
      readonly retryAfter: number;
    };

/** The worker of a job, if any has a free slot. */
export type Placement =
  | { readonly kind: "placed"; readonly worker: string }
  /** No worker has a free slot now. */
  | { readonly kind: "wait" };
