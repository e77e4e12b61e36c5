import { createHash } from "node:crypto";
import { Lane } from "../decision/index.ts";
import type { Arrival, Job } from "../decision/index.ts";
import type { RequestRecord } from "../interface/index.ts";
import type { Environment } from "./environment.ts";

/** Average number of characters per token, used where nothing better is known. */
const TOKEN_CHARACTERS = 4;
/** Characters of the prompt that one prefix block covers. */
const BLOCK_CHARACTERS = 1_024;
/** Tokens that one prefix block stands for. */
export const PREFIX_BLOCK_TOKENS = BLOCK_CHARACTERS / TOKEN_CHARACTERS;
/** Maximum number of prefix blocks that placement takes into account. */
const MOST_BLOCKS = 32;
/**
 * Estimated answer length in tokens for a job created without admission, if the request has no
 * limit.
 */
const UNKNOWN_ANSWER = 256;
/** Estimated time per answer token, in milliseconds, for a job created without admission. */
const UNKNOWN_TOKEN_TIME = 20;

/** Converts a request record into the form that the admission and placement decisions use. */
export function arrivalOf({ clock, configuration }: Environment, record: RequestRecord): Arrival {
  const now = clock.now();
  const service = configuration.revision()?.deployment.services[record.service];
  const body = bodyOf(record.body);
  const maxTokens = body.max_completion_tokens ?? body.max_tokens;
  const [, model = ""] = (body.model ?? "").split("/");
  return {
    id: record.id,
    account: record.account,
    service: record.service,
    model,
    lane: service?.lane === Lane.Script ? Lane.Script : Lane.Lookup,
    promptTokens: Math.ceil(record.body.length / TOKEN_CHARACTERS),
    ...(typeof maxTokens === "number" ? { maxTokens } : {}),
    prefix: prefixOf(record.body),
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
export function inheritedJob(environment: Environment, record: RequestRecord): Job {
  const arrival = arrivalOf(environment, record);
  const admission = environment.scheduler.admit(arrival, environment.clock.now());
  const resumedTokens = record.tokens.length;
  if (admission.kind === "admitted") return { ...admission.job, resumedTokens };
  const answerTokens = arrival.maxTokens ?? UNKNOWN_ANSWER;
  const work = arrival.promptTokens + answerTokens;
  const serviceTime = answerTokens * UNKNOWN_TOKEN_TIME;
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

function bodyOf(text: string): ChatBody {
  try {
    const body: unknown = JSON.parse(text);
    return typeof body === "object" && body !== null ? body : {};
  } catch {
    return {};
  }
}

/** Hashes the leading blocks of the prompt. Each hash covers its block and all blocks before it. */
function prefixOf(body: string): string[] {
  const start = Math.max(0, body.indexOf('"messages"'));
  const blocks: string[] = [];
  const hash = createHash("sha1");
  for (let at = start; at + BLOCK_CHARACTERS <= body.length; at += BLOCK_CHARACTERS) {
    if (blocks.length === MOST_BLOCKS) break;
    hash.update(body.slice(at, at + BLOCK_CHARACTERS));
    blocks.push(hash.copy().digest("base64url"));
  }
  return blocks;
}
