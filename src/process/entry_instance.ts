import { randomBytes } from "node:crypto";
import type { ServerResponse } from "node:http";
import polka from "polka";
import {
  createHttpEngine,
  createHttpObjectStore,
  listenHttp,
  readBody,
  routeParameter,
  sendEvent,
  sendJson,
} from "../connection/index.ts";
import type { Listener } from "../connection/index.ts";
import { createScheduler, Lane } from "../decision/index.ts";
import type { Arrival, Job } from "../decision/index.ts";
import { sleep } from "../interface/index.ts";
import type {
  Clock,
  Engine,
  EngineEvent,
  ObjectStore,
  Random,
  Worker,
} from "../interface/index.ts";
import { chatRequestSchema, formatRequestId, splitModel } from "../request/index.ts";
import type { ChatRequest } from "../request/index.ts";
import {
  formatRevision,
  laterRevision,
  parseRevision,
  REVISION_KEY,
  SLOT_COUNT,
} from "../version/index.ts";
import type { Revision } from "../version/index.ts";
import type { EntrySettings } from "./settings.ts";

const BODY_LIMIT = 4_000_000;
/** Milliseconds after which a watch that failed is begun again. */
const WATCH_PAUSE = 500;
/** How long a caller may keep the answer to which address to use, in seconds. */
const RESOLVE_KEEP = 10;

/** What an entry instance is started with besides its settings. */
export interface EntryDependencies {
  readonly clock: Clock;
  readonly random: Random;
}

/** A running entry instance. */
export interface EntryInstance {
  /** `IP:PORT` for callers, as bound. */
  readonly callers: string;
  close(): Promise<void>;
}

interface Parts extends EntryDependencies {
  readonly settings: EntrySettings;
  readonly store: ObjectStore;
  readonly engine: Engine;
  readonly scheduler: ReturnType<typeof createScheduler>;
  workers: readonly Worker[];
  revision: Revision | undefined;
}

/** Starts an entry instance; resolves once it knows a revision and listens. */
export async function startEntry(
  settings: EntrySettings,
  dependencies: EntryDependencies,
): Promise<EntryInstance> {
  const store = createHttpObjectStore(settings.platform.objects);
  const engine = createHttpEngine();
  const ending = new AbortController();
  const parts: Parts = {
    ...dependencies,
    settings,
    store,
    engine,
    scheduler: createScheduler(),
    workers: await readWorkers(settings),
    revision: undefined,
  };
  parts.scheduler.setWorkers(parts.workers, dependencies.clock.now());
  await readRevision(parts);
  void followRevision(parts, ending.signal);
  const listener = await listenHttp(settings.callers, routes(parts));
  return {
    callers: listener.address,
    close: () => closeEntry(listener, { store, engine, ending }),
  };
}

async function closeEntry(
  listener: Listener,
  owned: { store: ObjectStore; engine: { close(): void }; ending: AbortController },
): Promise<void> {
  owned.ending.abort(new Error("The instance is closing."));
  await listener.close();
  owned.store.close();
  owned.engine.close();
}

async function readWorkers(settings: EntrySettings): Promise<readonly Worker[]> {
  const answer = await fetch(`http://${settings.platform.instances}/instances`);
  return (await answer.json()) as readonly Worker[];
}

async function readRevision(parts: Parts): Promise<void> {
  const read = await parts.store.get(REVISION_KEY);
  if (read.kind !== "found") return;
  parts.revision = laterRevision(
    parts.revision,
    parseRevision(read.object.version, read.object.value),
  );
}

async function followRevision(parts: Parts, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    try {
      const changed = await parts.store.watch(REVISION_KEY, parts.revision?.version ?? 0, signal);
      if (changed === undefined) continue;
      parts.revision = laterRevision(parts.revision, parseRevision(changed.version, changed.value));
    } catch {
      await sleep(parts.clock, WATCH_PAUSE);
    }
  }
}

function routes(parts: Parts): Parameters<typeof listenHttp>[1] {
  const app = polka();
  app.get("/v1/resolve", (_request, response) => {
    sendJson(response, { addresses: [parts.settings.callers], keepFor: RESOLVE_KEEP });
  });
  app.get("/v1/status", (_request, response) => {
    const { revision } = parts;
    sendJson(response, { revision: revision?.version ?? 0, preset: revision?.preset ?? "" });
  });
  app.put("/v1/preset/:name", async (request, response) => {
    await usePreset(parts, routeParameter(request, "name"), response);
  });
  app.post("/v1/chat/completions", async (request, response) => {
    const body = await readBody(request, BODY_LIMIT);
    const parsed = chatRequestSchema.safeParse(JSON.parse(body));
    if (!parsed.success) sendJson(response, { error: parsed.error.message }, { status: 400 });
    else await answerChat(parts, { chat: parsed.data, body, response });
  });
  return (request, response) => app.handler(request as polka.Request, response);
}

async function usePreset(parts: Parts, preset: string, response: ServerResponse): Promise<void> {
  const { revision } = parts;
  if (revision === undefined || !(preset in revision.deployment.presets)) {
    sendJson(response, { outcome: "refused" }, { status: 409 });
    return;
  }
  const value = formatRevision({ ...revision, preset });
  const outcome = await parts.store.put(REVISION_KEY, value, { expect: revision.version });
  sendJson(response, outcome, { status: outcome.kind === "written" ? 200 : 409 });
}

interface Chat {
  readonly chat: ChatRequest;
  readonly body: string;
  readonly response: ServerResponse;
}

async function answerChat(parts: Parts, { chat, body, response }: Chat): Promise<void> {
  const arrival = arrivalOf(parts, chat);
  const admission = parts.scheduler.admit(arrival, parts.clock.now());
  if (admission.kind === "refused") {
    sendJson(response, { error: admission.reason }, { status: 429 });
    return;
  }
  const worker = placedWorker(parts, admission.job);
  if (worker === undefined) {
    sendJson(response, { error: "no-backend-server" }, { status: 503 });
    return;
  }
  const ending = new AbortController();
  response.on("close", () => ending.abort(new Error("The caller has gone.")));
  response.writeHead(200, { "content-type": "text/event-stream", "x-request-id": arrival.id });
  const dispatch = {
    id: arrival.id,
    attempt: 1,
    service: arrival.service,
    path: "/v1/chat/completions",
    body,
    tokens: [],
    priority: 0,
    timeLeft: arrival.deadlineAt - arrival.arrivedAt,
  };
  for await (const event of parts.engine.run(worker, dispatch, ending.signal)) {
    sendChunk(response, { event, id: arrival.id, model: chat.model });
  }
  response.end("data: [DONE]\n\n");
}

function sendChunk(
  response: ServerResponse,
  { event, id, model }: { event: EngineEvent; id: string; model: string },
): void {
  const chunk = (delta: object, finish: string | null): object => ({
    id,
    object: "chat.completion.chunk",
    created: 0,
    model,
    choices: [{ index: 0, delta, finish_reason: finish }],
  });
  if (event.kind === "token") sendEvent(response, chunk({ content: event.text }, null));
  if (event.kind === "finished") sendEvent(response, chunk({}, event.reason));
}

function placedWorker(parts: Parts, job: Job): Worker | undefined {
  const placement = parts.scheduler.place(job, {
    now: parts.clock.now(),
    random: parts.random,
    avoid: new Set(),
  });
  if (placement.kind === "wait") return undefined;
  return parts.workers.find((worker) => worker.id === placement.worker);
}

function arrivalOf(parts: Parts, chat: ChatRequest): Arrival {
  const now = parts.clock.now();
  const slot = Math.floor(parts.random.next() * SLOT_COUNT);
  const { service, model } = splitModel(chat.model);
  return {
    id: formatRequestId(slot, randomBytes(12).toString("hex")),
    account: "",
    service,
    model,
    lane: Lane.Lookup,
    promptTokens: JSON.stringify(chat.messages).length / 4,
    prefix: [],
    repeatable: true,
    detached: false,
    arrivedAt: now,
    deadlineAt: now + 60_000,
  };
}
