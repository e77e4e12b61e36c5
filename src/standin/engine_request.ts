import { createHash } from "node:crypto";
import { z } from "zod";
import type { Dispatch } from "../interface/index.ts";
import type { EngineRequest } from "./engine_model.ts";
import { BLOCK_TOKENS } from "./prefix_cache.ts";

/** The fields of a chat-completions body that the engine model uses. */
const chatBodySchema = z.object({
  messages: z.array(z.object({ content: z.unknown() })).default([]),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

/** Average number of characters per token. */
const CHARACTERS_PER_TOKEN = 4;
/** Length of the answer in tokens if the body sets no limit. */
const DEFAULT_ANSWER_TOKENS = 16;

/** Path of the requests that run on the engine. All other paths belong to plain services. */
export const CHAT_PATH = "/v1/chat/completions";

/**
 * Converts a dispatch to a request for the engine model.
 *
 * @returns Undefined if the body isn't a chat-completions body.
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

/** Hashes the complete blocks of a prompt. Each hash covers all text up to the end of its block. */
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

/**
 * Formats the name of a KV cache export from the server's address, the request id and the number of
 * tokens in it.
 */
export function formatCacheName(source: string, id: string, tokens: number): string {
  return `${source}/${id}/${tokens}`;
}

/**
 * Returns the number of tokens in a KV cache export, as given by the end of its name; 0 if there is
 * none.
 */
function parseImportedTokens(name: string | undefined): number {
  return name === undefined ? 0 : Number(/\/(\d+)$/.exec(name)?.[1] ?? 0);
}
