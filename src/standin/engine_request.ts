import { createHash } from "node:crypto";
import { z } from "zod";
import type { Dispatch } from "../interface/index.ts";
import type { EngineRequest } from "./engine_model.ts";
import { BLOCK_TOKENS } from "./prefix_cache.ts";

/** The parts of a chat-completions body that an engine goes by. */
const chatBodySchema = z.object({
  messages: z.array(z.object({ content: z.unknown() })).default([]),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

/** Characters that a token stands for, on the average. */
const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_ANSWER_TOKENS = 16;

/** Path of the requests that an engine generates for; any other path is a plain service's. */
export const CHAT_PATH = "/v1/chat/completions";

/**
 * Reads what the engine model needs from a dispatch.
 *
 * @returns Undefined where the body isn't a chat-completions body.
 */
export function parseEngineRequest(dispatch: Dispatch): EngineRequest | undefined {
  const body = chatBodySchema.safeParse(parseJson(dispatch.body));
  if (!body.success) return undefined;
  const { messages, max_tokens, max_completion_tokens } = body.data;
  const promptText = messages.map(({ content }) => JSON.stringify(content)).join("\n");
  return {
    id: dispatch.id,
    promptTokens: Math.max(1, Math.ceil(promptText.length / CHARACTERS_PER_TOKEN)),
    answerTokens: max_completion_tokens ?? max_tokens ?? DEFAULT_ANSWER_TOKENS,
    prefix: hashPrefixBlocks(promptText),
    resumedTokens: dispatch.tokens.length,
    importedTokens: parseImportedTokens(dispatch.cache),
    priority: dispatch.priority,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Hashes of the prompt's whole blocks, each over all text up to its end. */
function hashPrefixBlocks(promptText: string): string[] {
  const size = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
  const hash = createHash("sha1");
  return Array.from({ length: Math.floor(promptText.length / size) }, (_, index) =>
    hash
      .update(promptText.slice(index * size, (index + 1) * size))
      .copy()
      .digest("base64"),
  );
}

/** Names an export of KV cache: who made it, and how many tokens it holds. */
export function formatCacheName(source: string, id: string, tokens: number): string {
  return `${source}/${id}/${tokens}`;
}

function parseImportedTokens(name: string | undefined): number {
  return name === undefined ? 0 : Number(/\/(\d+)$/.exec(name)?.[1] ?? 0);
}
