import { createServer } from "node:http";
import { afterEach, expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import type { ExchangeEnd, WorkerConnections } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { reserveLoopbackAddress } from "./testing/loopback_address.ts";
import { splitAddress } from "./http_listener.ts";
import { createWorkerConnections } from "./worker_connections.ts";
import { createWorkerPath } from "./worker_path.ts";

const closers: (() => unknown)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** Starts a worker that announces an idle timeout in seconds; none if undefined. Resolves with its address. */
async function startWorker(idleTimeout: number | undefined): Promise<string> {
  const server = createServer((_, response) => {
    if (idleTimeout !== undefined) response.setHeader("Keep-Alive", `timeout=${idleTimeout}`);
    response.end("ok");
  });
  // With any other value, Node.js announces a timeout by itself.
  server.keepAliveTimeout = 0;
  closers.push(() => {
    server.close();
    server.closeAllConnections();
  });
  const address = reserveLoopbackAddress();
  const [host, port] = splitAddress(address);
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  return address;
}

function sendRequest(connections: WorkerConnections, address: string): Promise<ExchangeEnd> {
  const worker = { id: "w", startedAt: 0, address };
  const headers = ["Host", address];
  const request = { method: "GET", target: "/", headers, body: Buffer.alloc(0), id: undefined };
  return new Promise((resolve) => {
    const sink = { head: () => undefined, data: () => undefined, end: resolve };
    connections.exchange(worker, request, { sink, repeatable: true, maxConnections: 2 });
  });
}

// Guards against preferring workers for connections that the worker may have closed, or that can't be used.
test.each([
  { idleTimeout: undefined, idle: 499, isPreferred: true },
  { idleTimeout: undefined, idle: 500, isPreferred: false },
  { idleTimeout: 1, idle: 499, isPreferred: true },
  { idleTimeout: 5, idle: 500, isPreferred: false },
])(
  "with an idle timeout of $idleTimeout s, a worker is preferred $idle ms after a response: $isPreferred",
  async ({ idleTimeout, idle, isPreferred }) => {
    const clock = createVirtualClock();
    const path = createWorkerPath({ clock, random: createSeededRandom(1) });
    const matching = { idHeader: "x-id", notRunHeader: "x-not-run" };
    const onHead = (): void => undefined;
    const connections = createWorkerConnections({ clock, path, matching, onHead });
    closers.push(() => connections.close());
    const address = await startWorker(idleTimeout);
    expect(connections.wasJustUsed("w")).toBe(false);
    const exchange = sendRequest(connections, address);
    expect(connections.wasJustUsed("w")).toBe(false);
    expect((await exchange).kind).toBe("complete");
    await clock.advance(idle);
    expect(connections.wasJustUsed("w")).toBe(isPreferred);
  },
);
