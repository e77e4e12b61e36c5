/**
 * The soak test injects network faults through the link proxy. A proxy that recovers a broken connection or hides a
 * reset would let it pass with faults that never happened.
 *
 * @module
 */
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { takeLoopbackAddress } from "../../src/connection/testing/loopback_address.ts";
import { LinkCondition, openLinkProxy } from "./link_proxy.ts";
import type { LinkProxy } from "./link_proxy.ts";

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Starts an echo server behind a proxy; `received` collects its input. */
async function setUp(): Promise<{ link: LinkProxy; server: Server; received: string[] }> {
  const address = takeLoopbackAddress();
  const [host, port] = address.split(":");
  const received: string[] = [];
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => socket.destroy());
    socket.on("data", (chunk) => {
      received.push(String(chunk));
      socket.write(chunk);
    });
  });
  server.listen(Number(port), host);
  await once(server, "listening");
  closers.push(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const link = await openLinkProxy(address);
  closers.push(() => link.close());
  return { link, server, received };
}

function open({ address }: LinkProxy): Socket {
  const [host, port] = address.split(":");
  const socket = connect({ host, port: Number(port) });
  closers.push(() => socket.destroy());
  return socket;
}

/** Waits until the connection has ended; resolves to its error code. */
function closeError(socket: Socket): Promise<string | undefined> {
  return new Promise((resolve) => {
    let code: string | undefined;
    socket.on("error", (error: NodeJS.ErrnoException) => void (code = error.code));
    socket.on("close", () => resolve(code));
  });
}

/** Sends a text and returns what comes back within `wait` milliseconds. */
async function echo(socket: Socket, text: string, wait = 150): Promise<string> {
  let received = "";
  const listener = (chunk: Buffer): void => void (received += String(chunk));
  socket.on("data", listener);
  socket.write(text);
  await new Promise((resolve) => setTimeout(resolve, wait));
  socket.off("data", listener);
  return received;
}

test("a link forwards bytes, with a delay if it is slow", async () => {
  const { link } = await setUp();
  const socket = open(link);
  expect(await echo(socket, "a")).toBe("a");
  link.setCondition(LinkCondition.Slow);
  expect(await echo(socket, "b")).toBe("");
  expect(await echo(socket, "c", 900)).toBe("bc");
});

test("answers are dropped, but requests arrive", async () => {
  const { link, received } = await setUp();
  const socket = open(link);
  link.setCondition(LinkCondition.AnswersLost);
  expect(await echo(socket, "write")).toBe("");
  expect(received).toEqual(["write"]);
});

test("a connection that went silent stays silent, and new ones work again", async () => {
  const { link, received } = await setUp();
  const socket = open(link);
  link.setCondition(LinkCondition.Silent);
  expect(await echo(socket, "lost")).toBe("");
  link.setCondition(LinkCondition.Normal);
  expect(await echo(socket, "after")).toBe("");
  expect(received).toEqual([]);
  expect(await echo(open(link), "new")).toBe("new");
});

test("open and new connections are reset", async () => {
  const { link } = await setUp();
  const socket = open(link);
  expect(await echo(socket, "a")).toBe("a");
  const reset = closeError(socket);
  link.setCondition(LinkCondition.Resetting);
  expect(await reset).toBe("ECONNRESET");
  expect(await closeError(open(link))).toBe("ECONNRESET");
});

test("a link refuses connections once its target has ended", async () => {
  const { link } = await setUp();
  const socket = open(link);
  expect(await echo(socket, "a")).toBe("a");
  const closed = closeError(socket);
  for (const close of closers.splice(0, 1)) await close();
  await closed;
  expect(await closeError(open(link))).toBe("ECONNREFUSED");
});
