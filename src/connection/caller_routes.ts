import type { IncomingMessage, ServerResponse } from "node:http";
import type { Polka } from "polka";
import type { EntryInstanceParts } from "./entry_parts.ts";
import { readBody, sendEvent, sendJson } from "./http_body.ts";
import { chatRequestSchema, splitModel } from "../request/index.ts";
import type { CallerEvent, ChatRequest, Submission } from "../request/index.ts";

const BODY_LIMIT = 4_000_000;
/** How long a caller may keep the answer to which address to use, in seconds. */
const RESOLVE_KEEP = 10;

/** Adds the routes of callers. */
export function addCallerRoutes(app: Polka, parts: EntryInstanceParts): void {
  app.get("/v1/resolve", (_request, response) => {
    const addresses = parts.members.alive().map((member) => member.callerAddress);
    sendJson(response, { addresses, keepFor: RESOLVE_KEEP });
  });
  app.post("/v1/chat/completions", async (request, response) => {
    await answerChat(parts, { request, response });
  });
}

async function answerChat(
  parts: EntryInstanceParts,
  { request, response }: { request: IncomingMessage; response: ServerResponse },
): Promise<void> {
  const body = await readBody(request, BODY_LIMIT);
  const parsed = chatRequestSchema.safeParse(JSON.parse(body));
  if (!parsed.success) {
    sendJson(response, { error: { message: parsed.error.message } }, { status: 400 });
    return;
  }
  const ending = new AbortController();
  response.on("close", () => ending.abort(new Error("The caller has gone.")));
  const submission = submissionOf(parsed.data, body);
  for await (const event of parts.requests.submit(submission, ending.signal)) {
    sendCallerEvent(response, { event, model: parsed.data.model });
  }
}

function submissionOf(chat: ChatRequest, body: string): Submission {
  const { service, model } = splitModel(chat.model);
  const path = "/v1/chat/completions";
  return { account: "", service, model, path, body, detached: false, fromToken: 0 };
}

function sendCallerEvent(
  response: ServerResponse,
  { event, model }: { event: CallerEvent; model: string },
): void {
  const chunk = (delta: object, finish: string | null): object => ({
    id: "",
    object: "chat.completion.chunk",
    created: 0,
    model,
    choices: [{ index: 0, delta, finish_reason: finish }],
  });
  switch (event.kind) {
    case "rejected":
      sendJson(response, { error: event.rejection }, { status: 503 });
      break;
    case "accepted":
      response.writeHead(200, { "content-type": "text/event-stream", "x-request-id": event.id });
      break;
    case "token":
      sendEvent(response, chunk({ content: event.text }, null));
      break;
    case "ended":
      sendEvent(response, chunk({}, event.record.detail));
      response.end("data: [DONE]\n\n");
      break;
  }
}
