import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { RequestState } from "../interface/index.ts";
import type { RequestRecord } from "../interface/index.ts";
import type { CallerEvent, Rejection } from "../request/index.ts";
import { errorBody, sendRejection } from "./caller_refusal.ts";
import { sendJson } from "./http_body.ts";

/** Options for the format of a chat completion response. */
export interface ChatAnswer {
  /** The model, as named in the request. */
  readonly model: string;
  /** Creation time, in seconds since the Unix epoch. */
  readonly created: number;
  /** Number of tokens of the prompt, reported in the usage. */
  readonly promptTokens: number;
  /** Whether the last chunk of a stream reports the usage. */
  readonly usage: boolean;
  /** Whether a stream starts with the chunk that has the role; false for a resumed stream. */
  readonly fromStart: boolean;
}

/**
 * Sends a chat completion as server-sent events. The id of each token's event is the token's index, so
 * that a caller can resume with `Last-Event-ID`. Resolves when the stream has ended.
 */
export async function streamChat(
  response: ServerResponse,
  events: AsyncIterable<CallerEvent>,
  answer: ChatAnswer,
): Promise<void> {
  let chunk = chunkFormat("", answer);
  let tokens = 0;
  for await (const event of events) {
    switch (event.kind) {
      case "rejected":
        if (!response.headersSent) sendRejection(response, event.rejection);
        else response.end(`data: ${JSON.stringify(errorBody(event.rejection))}\n\n`);
        return;
      case "accepted":
        chunk = chunkFormat(event.id, answer);
        beginStream(response, event.id);
        if (answer.fromStart)
          response.write(`data: ${chunk('{"role":"assistant","content":""}')}\n\n`);
        break;
      case "token": {
        tokens = event.index + 1;
        const data = chunk(`{"content":${JSON.stringify(event.text)}}`);
        const room = writeSoon(response, `id: ${event.index}\ndata: ${data}\n\n`);
        if (!room && !response.destroyed) await roomOrEnd(response);
        break;
      }
      case "ended":
        endStream(response, event.record, { chunk, answer, tokens });
        return;
    }
  }
}

function beginStream(response: ServerResponse, id: string): void {
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
function writeSoon(response: ServerResponse, text: string): boolean {
  if (response.writableCorked === 0) {
    response.cork();
    setImmediate(() => response.uncork());
  }
  return response.write(text);
}

/** Waits until the caller has read the buffered data or disconnected, so that a slow one uses little memory. */
async function roomOrEnd(response: ServerResponse): Promise<void> {
  const ending = new AbortController();
  const { signal } = ending;
  response.uncork();
  await Promise.race([
    once(response, "drain", { signal }),
    once(response, "close", { signal }),
  ]).catch(() => undefined);
  ending.abort();
}

type ChunkFormat = (delta: string, finish?: string) => string;

/** Formats the constant part of the chunks once; only the token differs between them. */
function chunkFormat(id: string, { model, created }: ChatAnswer): ChunkFormat {
  const head = JSON.stringify({ id, object: "chat.completion.chunk", created, model });
  const begin = `${head.slice(0, -1)},"choices":[{"index":0,"delta":`;
  return (delta, finish) => {
    const reason = finish === undefined ? "null" : JSON.stringify(finish);
    return `${begin}${delta},"finish_reason":${reason}}]}`;
  };
}

/** Sends the final chunk, the usage if asked for, and `[DONE]`; or an error event. */
function endStream(
  response: ServerResponse,
  record: RequestRecord,
  { chunk, answer, tokens }: { chunk: ChunkFormat; answer: ChatAnswer; tokens: number },
): void {
  if (record.state !== RequestState.Complete) {
    response.end(`data: ${JSON.stringify(errorBody(rejectionOf(record)))}\n\n`);
    return;
  }
  response.write(`data: ${chunk("{}", record.detail)}\n\n`);
  if (answer.usage) {
    const { created, model, promptTokens } = answer;
    const usage = usageOf(promptTokens, tokens);
    const object = "chat.completion.chunk";
    const last = { id: record.id, object, created, model, choices: [], usage };
    response.write(`data: ${JSON.stringify(last)}\n\n`);
  }
  response.end("data: [DONE]\n\n");
}

/** Sends a chat completion as one JSON response, once the request has ended. */
export async function sendWholeChat(
  response: ServerResponse,
  events: AsyncIterable<CallerEvent>,
  answer: ChatAnswer,
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
      sendRejection(response, rejectionOf(record, retryAfter));
      return;
    }
    const headers = { "x-request-id": record.id };
    sendJson(response, wholeChat({ ...record, tokens }, answer), { headers });
    return;
  }
}

/** Returns a chat completion in the format of the OpenAI API. */
export function wholeChat(record: RequestRecord, answer: ChatAnswer): object {
  const { created, model, promptTokens } = answer;
  const message = { role: "assistant", content: record.tokens.join(""), refusal: null };
  return {
    id: record.id,
    object: "chat.completion",
    created,
    model,
    choices: [{ index: 0, message, finish_reason: record.detail, logprobs: null }],
    usage: usageOf(promptTokens, record.tokens.length),
  };
}

function usageOf(prompt: number, completion: number): object {
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
export function rejectionOf(record: RequestRecord, retryAfter?: number): Rejection {
  const { id, reason, detail, state } = record;
  return {
    id,
    reason,
    detail: detail === "" ? `The request ended in the state "${state}".` : detail,
    notRun: state === RequestState.NotRun,
    ...(retryAfter === undefined ? {} : { retryAfter }),
  };
}
