import { createHash } from "node:crypto";
import { Lane } from "../decision/index.ts";
import type { Arrival, Job } from "../decision/index.ts";
import type { RequestRecord } from "../interface/index.ts";
import type { Environment } from "./environment.ts";

/** Characters a token, on average, where nothing better is known. */
const TOKEN_CHARACTERS = 4;
/** Characters of the prompt that one block of the prefix covers. */
const BLOCK_CHARACTERS = 1_024;
/** Prompt tokens that one block of the prefix stands for. */
export const PREFIX_BLOCK_TOKENS = BLOCK_CHARACTERS / TOKEN_CHARACTERS;
/** Longest prefix that placement looks at, in blocks. */
const MOST_BLOCKS = 32;
/** Tokens of an answer for which nothing is known, where a job is made without admission. */
const UNKNOWN_ANSWER = 256;
/** Milliseconds a token, where a job is made without admission. */
const UNKNOWN_TOKEN_TIME = 20;

/** What the decisions need to know of a request. */
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
 * The job of a request that was accepted by an earlier owner: it is let in whatever the load, because what
 * was accepted is never turned away later.
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

/** Hashes of the prompt's leading blocks, each over all blocks up to it. */
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
