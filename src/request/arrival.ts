import { createHash } from "node:crypto";
import { Lane } from "../decision/index.ts";
import type { Arrival, Job } from "../decision/index.ts";
import type { RequestRecord } from "../interface/index.ts";
import type { Environment } from "./environment.ts";

/** Assumed average number of characters per token. */
const CHARACTERS_PER_TOKEN = 4;
/** Characters of the prompt that one prefix block covers. */
const PREFIX_BLOCK_CHARACTERS = 1_024;
/** Estimated number of tokens in one prefix block. */
export const PREFIX_BLOCK_TOKENS = PREFIX_BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
/** Maximum number of prefix blocks that placement takes into account. */
const MAX_PREFIX_BLOCKS = 32;
/**
 * Estimated answer length in tokens for a job created without admission, if the request has no
 * limit.
 */
const DEFAULT_ANSWER_TOKENS = 256;
/** Estimated time per answer token, in milliseconds, for a job created without admission. */
const DEFAULT_TOKEN_TIME = 20;

/** Converts a request record into the form that the admission and placement decisions use. */
export function toArrival({ clock, configuration }: Environment, record: RequestRecord): Arrival {
  const now = clock.now();
  const service = configuration.revision()?.deployment.services[record.service];
  const body = parseChatBody(record.body);
  const maxTokens = body.max_completion_tokens ?? body.max_tokens;
  const [, model = ""] = (body.model ?? "").split("/");
  return {
    id: record.id,
    account: record.account,
    service: record.service,
    model,
    lane: service?.lane === Lane.Script ? Lane.Script : Lane.Lookup,
    promptTokens: Math.ceil(record.body.length / CHARACTERS_PER_TOKEN),
    ...(typeof maxTokens === "number" ? { maxTokens } : {}),
    prefix: hashPrefixBlocks(record.body),
    repeatable: record.repeatable,
    detached: record.detached,
    arrivedAt: now,
    deadlineAt: now + record.deadlineAt - clock.date().getTime(),
  };
}

/**
 * Creates the job for a request that a previous owner has accepted. If admission refuses it, the
 * job is created from default estimates, because an accepted request must not be refused later.
 */
export function createInheritedJob(environment: Environment, record: RequestRecord): Job {
  const arrival = toArrival(environment, record);
  const admission = environment.scheduler.admit(arrival, environment.clock.now());
  const resumedTokens = record.tokens.length;
  if (admission.kind === "admitted") return { ...admission.job, resumedTokens };
  const answerTokens = arrival.maxTokens ?? DEFAULT_ANSWER_TOKENS;
  const work = arrival.promptTokens + answerTokens;
  const serviceTime = answerTokens * DEFAULT_TOKEN_TIME;
  return {
    ...arrival,
    estimate: { work, answerTokens, cacheTokens: work, serviceTime },
    resumedTokens,
  };
}

interface ChatBody {
  readonly model?: string;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
}

function parseChatBody(text: string): ChatBody {
  try {
    const body: unknown = JSON.parse(text);
    return typeof body === "object" && body !== null ? body : {};
  } catch {
    return {};
  }
}

/** Hashes the leading blocks of the prompt. Each hash covers its block and all blocks before it. */
function hashPrefixBlocks(body: string): string[] {
  const start = Math.max(0, body.indexOf('"messages"'));
  const blocks: string[] = [];
  const hash = createHash("sha1");
  for (let at = start; at + PREFIX_BLOCK_CHARACTERS <= body.length; at += PREFIX_BLOCK_CHARACTERS) {
    if (blocks.length === MAX_PREFIX_BLOCKS) break;
    hash.update(body.slice(at, at + PREFIX_BLOCK_CHARACTERS));
    blocks.push(hash.copy().digest("base64url"));
  }
  return blocks;
}
