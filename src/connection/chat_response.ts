import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { RequestState } from "../interface/index.ts";
import type { RequestRecord } from "../interface/index.ts";
import type { CallerEvent, Rejection } from "../request/index.ts";
import { errorBody, sendRejection } from "./caller_refusal.ts";
import { sendJson } from "./http_body.ts";

/** Options for the format of a chat completion response. */
export interface ChatFormat {
  /** The model, as named in the request. */
  readonly model: string;
  /** Creation time, in seconds since the Unix epoch. */
  readonly created: number;
  /** Number of tokens of the prompt, reported in the usage. */
  readonly promptTokens: number;
  /** Whether the last chunk of a stream reports the usage. */
  readonly includeUsage: boolean;
  /** Whether a stream starts with the chunk that has the role; false for a resumed stream. */
  readonly isFromStart: boolean;
}

/**
 * Sends a chat completion as server-sent events. The id of each token's event is the token's index, so
 * that a caller can resume with `Last-Event-ID`. Resolves when the stream has ended.
 */
export async function streamChat(
  response: ServerResponse,
  events: AsyncIterable<CallerEvent>,
  format: ChatFormat,
): Promise<void> {
  let formatChunk = createChunkFormatter("", format);
  let tokens = 0;
  for await (const event of events) {
    switch (event.kind) {
      case "rejected":
        if (!response.headersSent) sendRejection(response, event.rejection);
        else response.end(`data: ${JSON.stringify(errorBody(event.rejection))}\n\n`);
        return;
      case "accepted":
        formatChunk = createChunkFormatter(event.id, format);
        startStream(response, event.id);
        if (format.isFromStart)
          response.write(`data: ${formatChunk('{"role":"assistant","content":""}')}\n\n`);
        break;
      case "token": {
        tokens = event.index + 1;
        const data = formatChunk(`{"content":${JSON.stringify(event.text)}}`);
        const canWriteMore = writeBatched(response, `id: ${event.index}\ndata: ${data}\n\n`);
        if (!canWriteMore && !response.destroyed) await waitForDrain(response);
        break;
      }
      case "ended":
        endStream(response, event.record, { formatChunk, format, tokens });
        return;
    }
  }
}

function startStream(response: ServerResponse, id: string): void {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
    "x-request-id": id,
  });
  response.flushHeaders();
}

/**
 * Batches the writes of one event loop iteration into one system call.
 *
 * @returns False if the response's buffer is full.
 */
function writeBatched(response: ServerResponse, text: string): boolean {
  if (response.writableCorked === 0) {
    response.cork();
    setImmediate(() => response.uncork());
  }
  return response.write(text);
}

/**
 * Waits until the caller has read the buffered data or disconnected, so that slow callers use little memory.
 */
async function waitForDrain(response: ServerResponse): Promise<void> {
  const abortController = new AbortController();
  const { signal } = abortController;
  response.uncork();
  await Promise.race([
    once(response, "drain", { signal }),
    once(response, "close", { signal }),
  ]).catch(() => undefined);
  abortController.abort();
}

type ChunkFormatter = (delta: string, finish?: string) => string;

/** Formats the constant part of the chunks once; only the token differs between them. */
function createChunkFormatter(id: string, { model, created }: ChatFormat): ChunkFormatter {
  const head = JSON.stringify({ id, object: "chat.completion.chunk", created, model });
  const prefix = `${head.slice(0, -1)},"choices":[{"index":0,"delta":`;
  return (delta, finish) => {
    const reason = finish === undefined ? "null" : JSON.stringify(finish);
    return `${prefix}${delta},"finish_reason":${reason}}]}`;
  };
}

/** Sends the final chunk, the usage if asked for, and `[DONE]`; or an error event. */
function endStream(
  response: ServerResponse,
  record: RequestRecord,
  {
    formatChunk,
    format,
    tokens,
  }: { formatChunk: ChunkFormatter; format: ChatFormat; tokens: number },
): void {
  if (record.state !== RequestState.Complete) {
    response.end(`data: ${JSON.stringify(errorBody(rejectionFromRecord(record)))}\n\n`);
    return;
  }
  response.write(`data: ${formatChunk("{}", record.detail)}\n\n`);
  if (format.includeUsage) {
    const { created, model, promptTokens } = format;
    const usage = usageBody(promptTokens, tokens);
    const object = "chat.completion.chunk";
    const lastChunk = { id: record.id, object, created, model, choices: [], usage };
    response.write(`data: ${JSON.stringify(lastChunk)}\n\n`);
  }
  response.end("data: [DONE]\n\n");
}

/** Sends a chat completion as one JSON response, once the request has ended. */
export async function sendChat(
  response: ServerResponse,
  events: AsyncIterable<CallerEvent>,
  format: ChatFormat,
): Promise<void> {
  const tokens: string[] = [];
  for await (const event of events) {
    if (event.kind === "rejected") {
      sendRejection(response, event.rejection);
      return;
    }
    if (event.kind === "token") tokens.push(event.text);
    if (event.kind !== "ended") continue;
    const { record, retryAfter } = event;
    if (record.state !== RequestState.Complete) {
      sendRejection(response, rejectionFromRecord(record, retryAfter));
      return;
    }
    const headers = { "x-request-id": record.id };
    sendJson(response, completionBody({ ...record, tokens }, format), { headers });
    return;
  }
}

/** Returns a chat completion in the format of the OpenAI API. */
export function completionBody(record: RequestRecord, format: ChatFormat): object {
  const { created, model, promptTokens } = format;
  const message = { role: "assistant", content: record.tokens.join(""), refusal: null };
  return {
    id: record.id,
    object: "chat.completion",
    created,
    model,
    choices: [{ index: 0, message, finish_reason: record.detail, logprobs: null }],
    usage: usageBody(promptTokens, record.tokens.length),
  };
}

function usageBody(prompt: number, completion: number): object {
  return {
    prompt_tokens: prompt,
    completion_tokens: completion,
    total_tokens: prompt + completion,
  };
}

/**
 * Returns the rejection for a request that ended without completing.
 *
 * @param retryAfter Milliseconds after which a retry may succeed, if known.
 */
export function rejectionFromRecord(record: RequestRecord, retryAfter?: number): Rejection {
  const { id, reason, detail, state } = record;
  return {
    id,
    reason,
    detail: detail === "" ? `The request ended in the state "${state}".` : detail,
    notRun: state === RequestState.NotRun,
    ...(retryAfter === undefined ? {} : { retryAfter }),
  };
}
