import { Agent, createServer } from "node:http";
import { afterEach, expect, test } from "vitest";
import { splitAddress } from "../../src/connection/http_listener.ts";
import { reserveLoopbackAddress } from "../../src/connection/testing/loopback_address.ts";
import { wholeStream } from "../../platform/testing/worker_standin.ts";
import { sendRequest } from "./callers.ts";

const closers: (() => unknown)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

/** Starts a server that sends a complete stream in one piece. Returns its address. */
async function startServer(): Promise<string> {
  const address = reserveLoopbackAddress();
  const [host, port] = splitAddress(address);
  const server = createServer((_, response) => response.end(wholeStream()));
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  closers.push(() => server.close());
  return address;
}

// Guards against a part of a stream that counts as the whole one, because its rest had arrived when the caller left.
test("a caller that leaves has a part of the stream, also if all of it has arrived", async () => {
  const agent = new Agent();
  const answer = await sendRequest({
    ...{ id: "a", instance: await startServer(), method: "GET", path: "/stream/a" },
    ...{ body: "", key: "", agent, maxEvents: 2 },
  });
  expect(answer).toMatchObject({ isWhole: false, hasLeft: true });
  expect(wholeStream().startsWith(answer.body)).toBe(true);
  agent.destroy();
});
