import { expect, test } from "vitest";
import { BodyFraming, DialFailure } from "../interface/index.ts";
import type { ExchangeEnd, ExchangeSink, WorkerRequest } from "../interface/index.ts";
import { createProcessIdentity } from "./process_identity.ts";
import type { WorkerConnection } from "./worker_connection.ts";

/** Maximum size of a report in bytes, and the size of a piece of one that is longer. */
const MAX_REPORT = 65_536;
const REPORT_PIECE = 16_384;
const WORKER = { id: "i-1", startedAt: 1_000, address: "127.0.0.1:1" };
const REQUEST: WorkerRequest = {
  method: "POST",
  target: "/stream/x",
  headers: [],
  body: Buffer.from("go"),
  id: "r-1",
};
const identity = createProcessIdentity({
  path: "/report",
  readStart: (body) => (body === "" ? undefined : Number(body)),
});

/** A connection whose exchanges the test answers. */
function connectionWith(): {
  connection: WorkerConnection;
  sent: { target: string; sink: ExchangeSink }[];
  isClosed: () => boolean;
  isAborted: () => boolean;
} {
  const sent: { target: string; sink: ExchangeSink }[] = [];
  let closed = false;
  let aborted = false;
  const connection: WorkerConnection = {
    isIdle: () => !closed,
    hasPendingResponse: () => false,
    idleFor: () => 0,
    idleTimeout: undefined,
    exchangeCount: 0,
    exchange: ({ target }, sink) => {
      sent.push({ target, sink });
      return {
        sentAt: 0,
        pause: () => undefined,
        hold: () => undefined,
        resume: () => undefined,
        abort: () => (aborted = true),
        discard: () => undefined,
      };
    },
    close: () => (closed = true),
  };
  return { connection, sent, isClosed: () => closed, isAborted: () => aborted };
}

function send(connection: WorkerConnection, worker = WORKER): ExchangeEnd[] {
  const ends: ExchangeEnd[] = [];
  const sink = {
    head: () => undefined,
    data: () => undefined,
    end: (end: ExchangeEnd) => void ends.push(end),
  };
  identity.exchange(connection, REQUEST, { worker, sink });
  return ends;
}

function answer(sink: ExchangeSink | undefined, status: number, body: string): void {
  sink?.head({ status, framing: BodyFraming.Length, headers: [], byName: new Map() });
  if (body !== "") sink?.data(Buffer.from(body));
  sink?.end({ kind: "complete" });
}

const targets = (sent: { target: string }[]): string[] => sent.map(({ target }) => target);

test("a connection is identified once", () => {
  const { connection, sent } = connectionWith();
  send(connection);
  expect(targets(sent)).toEqual(["/report"]);
  answer(sent[0]?.sink, 200, "1000");
  expect(targets(sent)).toEqual(["/report", "/stream/x"]);
  answer(sent[1]?.sink, 200, "events");
  send(connection);
  expect(targets(sent)).toEqual(["/report", "/stream/x", "/stream/x"]);
});

// Guards against a request that reaches another process than the one whose entry was read.
test("nothing is sent to another process, and its connection is closed", () => {
  const { connection, sent, isClosed } = connectionWith();
  const ends = send(connection);
  answer(sent[0]?.sink, 200, "2000");
  expect(targets(sent)).toEqual(["/report"]);
  expect(ends).toMatchObject([{ kind: "replaced" }]);
  expect(isClosed()).toBe(true);
});

test("a connection that breaks during the report ends as not sent", () => {
  const { connection, sent } = connectionWith();
  const ends = send(connection);
  sent[0]?.sink.end({ kind: "broken", detail: "The worker reset the connection." });
  expect(ends).toMatchObject([{ kind: "not-sent" }]);
});

// Guards against a worker that counts as failed because it closes a connection after a response.
test("a connection that is closed after the report is replaced by another", () => {
  const { connection, sent } = connectionWith();
  const ends = send(connection);
  connection.close();
  answer(sent[0]?.sink, 200, "1000");
  expect(targets(sent)).toEqual(["/report"]);
  expect(ends).toMatchObject([{ kind: "not-sent", cause: DialFailure.NoPath }]);
});

// Guards against a worker whose report never ends and fills the memory of the process.
test("a report that is too long ends the request as not sent, and its connection is closed", () => {
  const { connection, sent, isAborted } = connectionWith();
  const ends = send(connection);
  const [report] = sent;
  report?.sink.head({
    status: 200,
    framing: BodyFraming.Connection,
    headers: [],
    byName: new Map(),
  });
  let received = 0;
  while (!isAborted() && received < 100 * REPORT_PIECE) {
    report?.sink.data(Buffer.alloc(REPORT_PIECE, "x"));
    received += REPORT_PIECE;
  }
  expect(received).toBeLessThan(2 * MAX_REPORT);
  expect(ends).toMatchObject([{ kind: "not-sent", cause: DialFailure.Unanswered }]);
  expect(targets(sent)).toEqual(["/report"]);
});

test.each([
  [503, ""],
  [200, ""],
])("a worker that doesn't state its start (status %i) gets the request", (status, body) => {
  const { connection, sent } = connectionWith();
  send(connection);
  answer(sent[0]?.sink, status, body);
  expect(targets(sent)).toEqual(["/report", "/stream/x"]);
});

test("a worker whose entry states no start isn't asked", () => {
  const { connection, sent } = connectionWith();
  send(connection, { ...WORKER, startedAt: 0 });
  expect(targets(sent)).toEqual(["/stream/x"]);
});

// Guards against answers that look longer by the time in which a worker's process is identified.
test("a request counts as sent once its worker is identified", () => {
  const { connection, sent } = connectionWith();
  const sink = { head: () => undefined, data: () => undefined, end: () => undefined };
  const exchange = identity.exchange(connection, REQUEST, { worker: WORKER, sink });
  expect(exchange.sentAt).toBeUndefined();
  answer(sent[0]?.sink, 200, "1000");
  expect(exchange.sentAt).toBe(0);
});
