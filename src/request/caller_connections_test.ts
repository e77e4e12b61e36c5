import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { PassThrough } from "node:stream";
import { expect, test } from "vitest";
import { createCallerConnections } from "./caller_connections.ts";
import { setUnparsedBytes } from "./unparsed_bytes.ts";

const connection = new PassThrough();
const responseOf = (id: string): ServerResponse =>
  Object.assign(new EventEmitter(), { id }) as unknown as ServerResponse;

// Guards against a connection that ends with an earlier response because a later one was ready before it.
test("only the response to the last request ends a connection, in whatever order they are ready", () => {
  const connections = createCallerConnections();
  const first = connections.add(connection, responseOf("first"));
  const second = connections.add(connection, responseOf("second"));
  expect(second.endWithResponse()).toBe(true);
  expect(first.endWithResponse()).toBe(false);
  expect(connections.add(connection, responseOf("third")).isEnding).toBe(true);
});

// Guards against a request without an answer, because the answer before it announced the end of the connection while it
// still waited behind an earlier one.
test("an answer waits for earlier ones", () => {
  const connections = createCallerConnections();
  const responses = ["first", "second"].map(responseOf);
  const sent: string[] = [];
  const shared = new PassThrough();
  const [first, second] = responses.map((response) => connections.add(shared, response));
  second?.whenFirst(() => sent.push("second"));
  expect(sent).toEqual([]);
  first?.whenFirst(() => sent.push("first"));
  expect(sent).toEqual(["first"]);
  responses[0]?.emit("close");
  expect(sent).toEqual(["first", "second"]);
  responses[1]?.emit("close");
  second?.whenFirst(() => sent.push("closed"));
  expect(sent).toEqual(["first", "second"]);
});

// Guards against a request without an answer that was read, but not parsed, when the connection ended.
test("a connection doesn't end while bytes wait to be parsed", () => {
  const connections = createCallerConnections();
  const shared = new PassThrough();
  let bytes = 1;
  setUnparsedBytes(shared, () => bytes);
  const request = connections.add(shared, responseOf("first"));
  expect(request.endWithResponse()).toBe(false);
  bytes = 0;
  expect(request.endWithResponse()).toBe(true);
});
