import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { RequestState } from "../interface/index.ts";
import type { RequestRecord } from "../interface/index.ts";
import type { CallerEvent, Rejection } from "../request/index.ts";
import { errorBody, sendRejection } from "./caller_refusal.ts";
import { sendJson } from "./http_body.ts";

/** How an answer is written. */
export interface ChatAnswer {
  /** The model as the caller named it. */
  readonly model: string;
  /** Seconds since 1970. */
  readonly created: number;
  /** Tokens of the prompt, for the usage. */
  readonly promptTokens: number;
  /** Whether a last chunk tells the usage. */
  readonly usage: boolean;
  /** Whether the answer's beginning is to be told, with the role. */
  readonly fromStart: boolean;
}

/** Writes an answer as server-sent events; the id of each event is the token's index. */
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

/** Gathers what is written in one turn of the event loop: one system call for many tokens. */
function writeSoon(response: ServerResponse, text: string): boolean {
  if (response.writableCorked === 0) {
    response.cork();
    setImmediate(() => response.uncork());
  }
  return response.write(text);
}

/** A caller that reads slowly holds back its own stream only, not the memory of the instance. */
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

/** Everything of a chunk but the token is the same in all of them, so it is formatted once. */
function chunkFormat(id: string, { model, created }: ChatAnswer): ChunkFormat {
  const head = JSON.stringify({ id, object: "chat.completion.chunk", created, model });
  const begin = `${head.slice(0, -1)},"choices":[{"index":0,"delta":`;
  return (delta, finish) => {
    const reason = finish === undefined ? "null" : JSON.stringify(finish);
    return `${begin}${delta},"finish_reason":${reason}}]}`;
  };
}

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

/** Answers a request in one piece. */
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

/** A whole answer in the shape of the OpenAI API. */
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

/** What a caller is told of a request that ended other than complete. */
export function rejectionOf(record: RequestRecord, retryAfter?: number): Rejection {
  const { id, reason, detail, state } = record;
  return {
    id,
    reason,
    detail: detail === "" ? `The request ended as ${state}.` : detail,
    notRun: state === RequestState.NotRun,
    ...(retryAfter === undefined ? {} : { retryAfter }),
  };
}
