import { createHash } from "node:crypto";
import { connect } from "node:net";
import fc from "fast-check";
import polka from "polka";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createCallerMemory } from "../decision/index.ts";
import { createSeededRandom, Refusal, RequestState } from "../interface/index.ts";
import type { Member, RequestRecord } from "../interface/index.ts";
import type { CallerEvent, RequestService, Submission } from "../request/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import type { VirtualClock } from "../standin/memory/index.ts";
import { EMPTY_SLOT_MAP } from "../version/index.ts";
import type { Revision } from "../version/index.ts";
import { addCallerRoutes } from "./caller_routes.ts";
import type { CallerRouteContext } from "./route_context.ts";
import { listenHttp, splitAddress } from "./http_listener.ts";
import type { Listener } from "./http_listener.ts";

const KEY = "key-of-the-club";
const ID = "r1-00000000000000000000000000000001";
const SELF: Member = { id: "e1#1", address: "1", callerAddress: "127.0.0.1:1", zone: "a" };

let listener: Listener;
let clock: VirtualClock;
let submitted: Submission[];
let events: CallerEvent[];
let refused: Refusal[];

beforeEach(async () => {
  clock = createVirtualClock();
  submitted = [];
  refused = [];
  events = completedEvents(["a", "b"]);
  const app = polka();
  addCallerRoutes(app, createTestContext());
  listener = await listenHttp("127.0.0.1:0", (request, response) => {
    app.handler(request as polka.Request, response);
  });
});

afterEach(() => listener.close());

// Guards against a response that OpenAI client libraries can't parse.
test("a complete response has the OpenAI format and its usage", async () => {
  const response = await post({ body: chatBody({}) });
  expect(response.status).toBe(200);
  expect(await response.json()).toMatchObject({
    id: ID,
    object: "chat.completion",
    choices: [{ message: { role: "assistant", content: "ab" }, finish_reason: "stop" }],
    usage: { completion_tokens: 2 },
  });
});

// Guards against a resumed stream that repeats or skips tokens because its event ids aren't token indexes.
test("event ids of a stream are token indexes, so that a caller can resume", async () => {
  const response = await post({ body: chatBody({ stream: true }) });
  const text = await response.text();
  expect([...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id)).toEqual(["0", "1"]);
  expect(text.endsWith("data: [DONE]\n\n")).toBe(true);
});

test("a request with the same key resumes the stream after the last token received", async () => {
  // Guards against sending tokens twice: a caller whose connection broke in the middle of a stream repeats
  // the request with its key and the id of the last event. Without a key the stream starts over.
  const headers = { "last-event-id": "240" };
  const body = chatBody({ stream: true });
  await post({ body, headers: { ...headers, "idempotency-key": "script-9" } });
  await post({ body, headers });
  expect(submitted.map(({ fromToken }) => fromToken)).toEqual([241, 0]);
});

// Guards against ignored headers: a request would run twice, or longer than the caller waits.
test("headers set the options of a request", async () => {
  const headers = {
    "idempotency-key": "entry-17",
    "x-samphireshore-repeat": "never",
    "x-samphireshore-deadline": "30s",
    prefer: "respond-async",
  };
  const response = await post({ body: chatBody({}), headers });
  expect(response.status).toBe(202);
  expect(await response.json()).toMatchObject({ id: ID, url: `/v1/requests/${ID}` });
  const options = { key: "entry-17", repeatable: false, deadline: 30_000, detached: true };
  expect(submitted).toMatchObject([{ account: "club", ...options }]);
});

// Guards against replacing the status or the type of the service's own response, such as a 404.
test("the response of a plain service keeps its own status", async () => {
  const detail = JSON.stringify({ status: 404, type: "text/plain", body: "no such reel" });
  events = [
    { kind: "accepted", id: ID },
    { kind: "ended", record: testRecord({ detail }) },
  ];
  const response = await fetch(`http://${listener.address}/services/booking/reels/7?x=1`, {
    headers: { authorization: `Bearer ${KEY}` },
  });
  expect([response.status, await response.text()]).toEqual([404, "no such reel"]);
  expect(submitted).toMatchObject([{ path: "GET /reels/7?x=1", repeatable: true }]);
});

// Guards against clients that can't tell whether to retry, or that retry too early.
test("a rejection has its reason, whether the request was not run, and a retry time", async () => {
  const detail = "The queue is full.";
  const rejection = { reason: Refusal.QueueFull, notRun: true, retryAfter: 1_500, detail };
  events = [{ kind: "rejected", rejection }];
  const response = await post({ body: chatBody({}) });
  expect(response.status).toBe(429);
  expect(response.headers.get("retry-after")).toBe("2");
  expect(await response.json()).toMatchObject({ error: { code: "queue-full", not_run: true } });
});

test("a request that may have run tells the client library not to retry", async () => {
  // Guards against running and billing a request twice after its response was lost: the openai client
  // retries a 502 on its own, under a new id, unless the header forbids it.
  const lost = { state: RequestState.MayHaveRun, reason: Refusal.BackendLost };
  events = [
    { kind: "accepted", id: ID },
    { kind: "ended", record: testRecord(lost) },
  ];
  const response = await post({ body: chatBody({}) });
  expect(response.status).toBe(502);
  expect(response.headers.get("x-should-retry")).toBe("false");
});

// Guards against invalid input that reaches a backend server, or that fails without a reason or a count.
test.each([
  ["no key", { body: chatBody({}), headers: { authorization: "" } }, 401, Refusal.Unauthenticated],
  ["a wrong key", { headers: { authorization: "Bearer x" } }, 401, Refusal.Unauthenticated],
  ["wrong JSON", { body: '{"model":' }, 400, Refusal.BadRequest],
  ["no messages", { body: '{"model":"desk"}' }, 400, Refusal.BadRequest],
  ["an unknown service", { body: chatBody({ model: "none" }) }, 404, Refusal.UnknownService],
  [
    "the name of an Object method",
    { body: chatBody({ model: "toString" }) },
    404,
    Refusal.UnknownService,
  ],
  ["an unknown model", { body: chatBody({ model: "desk/none" }) }, 404, Refusal.UnknownModel],
  [
    "a service of another account",
    { body: chatBody({ model: "scripts" }) },
    403,
    Refusal.Forbidden,
  ],
  ["a body over the limit", { body: "x".repeat(4_000_001) }, 413, Refusal.TooLarge],
  [
    "a wrong deadline",
    { headers: { "x-samphireshore-deadline": "soon" } },
    400,
    Refusal.BadRequest,
  ],
  ["a wrong repeat", { headers: { "x-samphireshore-repeat": "no" } }, 400, Refusal.BadRequest],
  ["a long key", { headers: { "idempotency-key": "k".repeat(256) } }, 400, Refusal.BadRequest],
])(
  "bad input with %s is a typed error, is counted, and runs nothing",
  async (_, call, status, reason) => {
    const response = await post(call);
    const body = (await response.json()) as { error: { code: string; not_run: boolean } };
    expect([response.status, body.error.code, body.error.not_run]).toEqual([status, reason, true]);
    expect(refused).toEqual([reason]);
    expect(submitted).toEqual([]);
  },
);

// Guards against input that ends the process or leaves a caller without a response.
test("arbitrary bodies and headers get a response, and the instance keeps running", async () => {
  const headerText = fc.string({ maxLength: 40 }).map((text) => text.replace(/[^ -~]/g, ""));
  await fc.assert(
    fc.asyncProperty(
      fc.oneof(fc.string(), fc.json(), fc.constant(chatBody({}))),
      fc.record({
        "idempotency-key": headerText,
        "x-samphireshore-repeat": headerText,
        "x-samphireshore-deadline": headerText,
        prefer: headerText,
      }),
      async (body, headers) => {
        const response = await post({ body, headers });
        await response.text();
        expect([200, 202, 400, 404, 403]).toContain(response.status);
      },
    ),
    { seed: 7, numRuns: 100 },
  );
});

test("arbitrary request paths get a response, and the instance keeps running", async () => {
  // Guards against an invalid URL ending the process, and with it the requests of all callers, through an
  // uncaught error in a route.
  await fc.assert(
    fc.asyncProperty(fc.webPath(), async (path) => {
      const status = await rawGet(`/v1/requests/${path.slice(1)}%zz`);
      expect(status).toBeGreaterThanOrEqual(200);
    }),
    { seed: 7, numRuns: 50 },
  );
  expect((await post({ body: chatBody({}) })).status).toBe(200);
});

test("a body that arrives too slowly is rejected", async () => {
  // Guards against slow clients (slow-loris) that open many connections and each hold memory and a
  // connection without limit, until no other caller is served.
  const [host, port] = splitAddress(listener.address);
  const socket = connect(port, host);
  let text = "";
  socket.on("data", (data) => (text += data.toString()));
  const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}`;
  socket.write(`${head}\r\ncontent-length: 100\r\n\r\n{`);
  await vi.waitFor(() => expect(clock.pendingTimers()).toBe(1));
  await clock.advance(30_000);
  await vi.waitFor(() => expect(text).toContain("HTTP/1.1 400"));
  expect(text).toContain('"not_run":true');
  expect(refused).toEqual([Refusal.BadRequest]);
  socket.destroy();
});

interface TestCall {
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

function post({ body = chatBody({}), headers = {} }: TestCall): Promise<Response> {
  return fetch(`http://${listener.address}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${KEY}`, "content-type": "application/json", ...headers },
    body,
  });
}

/** Sends a request with a path that `fetch` would refuse to send; resolves with the status. */
function rawGet(path: string): Promise<number> {
  const [host, port] = splitAddress(listener.address);
  return new Promise((resolve, reject) => {
    const socket = connect(port, host);
    let text = "";
    socket.on("data", (data) => (text += data.toString()));
    socket.on("error", reject);
    socket.on("close", () => resolve(Number(text.split(" ")[1] ?? 0)));
    socket.end(
      `GET ${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\nconnection: close\r\n\r\n`,
    );
  });
}

function chatBody(more: object): string {
  return JSON.stringify({
    model: "desk",
    messages: [{ role: "user", content: "chip 9" }],
    ...more,
  });
}

function testRecord(more: Partial<RequestRecord>): RequestRecord {
  return {
    id: ID,
    slot: 1,
    account: "club",
    service: "desk",
    state: RequestState.Complete,
    repeatable: true,
    detached: false,
    keyed: false,
    fingerprint: "",
    path: "/v1/chat/completions",
    body: "",
    attempt: 1,
    worker: "w1",
    tokens: [],
    tokensFrom: 0,
    reason: Refusal.None,
    detail: "stop",
    acceptedAt: 0,
    deadlineAt: 0,
    sequence: 1,
    ...more,
  };
}

function completedEvents(tokens: readonly string[]): CallerEvent[] {
  return [
    { kind: "accepted", id: ID },
    ...tokens.map((text, index) => ({ kind: "token" as const, index, text })),
    { kind: "ended", record: testRecord({}) },
  ];
}

function createTestContext(): CallerRouteContext {
  const unknown = { reason: Refusal.UnknownRequest, notRun: false, detail: "none" };
  const requests = {
    submit: async function* (submission: Submission) {
      submitted.push(submission);
      await Promise.resolve();
      yield* events;
    },
    find: () => Promise.resolve(unknown),
    inProgress: () => 0,
  } as unknown as RequestService;
  const close = (): void => undefined;
  return {
    requests,
    clock,
    random: createSeededRandom(1),
    callerMemory: createCallerMemory({ limit: 10_000_000, now: () => clock.now() }),
    configuration: {
      revision: () => REVISION,
      slotMap: () => EMPTY_SLOT_MAP,
      onChange: () => ({ close }),
      isCutOff: () => false,
      refresh: () => Promise.resolve(),
    },
    members: {
      self: SELF,
      alive: () => [SELF],
      find: () => SELF,
    } as unknown as CallerRouteContext["members"],
    workers: {} as CallerRouteContext["workers"],
    counters: {
      refused: (reason: Refusal) => refused.push(reason),
    } as unknown as CallerRouteContext["counters"],
    operatorKey: "",
  };
}

const TARGET = { firstToken: 400, betweenTokens: 44, deadline: 20_000 };
const SERVICE = { repeatable: true, checksFence: false, lane: "lookup", target: TARGET } as const;
const MODEL = { name: "small", version: "1", adapters: [], weights: 1 };

const REVISION: Revision = {
  version: 1,
  source: {},
  preset: "day",
  changes: [],
  deployment: {
    deployment: "test",
    region: "test",
    zones: ["a"],
    services: {
      desk: { kind: "model", models: [MODEL], ...SERVICE },
      scripts: { kind: "model", models: [MODEL], ...SERVICE },
      booking: { kind: "plain", ...SERVICE },
    },
    accounts: {
      club: {
        keySha256: createHash("sha256").update(KEY).digest("hex"),
        weight: 1,
        maxRequests: 10,
        maxTokens: 1_000,
        services: ["desk", "booking"],
      },
    },
    machineClasses: {},
    offers: [],
    presets: {},
  },
};
