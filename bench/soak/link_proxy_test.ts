import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { takeLoopbackAddress } from "../../src/connection/testing/loopback_address.ts";
import { LinkMood, openLink } from "./link_proxy.ts";
import type { LinkProxy } from "./link_proxy.ts";

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** A server that answers each piece with the same, behind a link. */
async function setUp(): Promise<{ link: LinkProxy; server: Server; heard: string[] }> {
  const address = takeLoopbackAddress();
  const [host, port] = address.split(":");
  const heard: string[] = [];
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => socket.destroy());
    socket.on("data", (chunk) => {
      heard.push(String(chunk));
      socket.write(chunk);
    });
  });
  server.listen(Number(port), host);
  await once(server, "listening");
  closers.push(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const link = await openLink(address);
  closers.push(() => link.close());
  return { link, server, heard };
}

function open({ address }: LinkProxy): Socket {
  const [host, port] = address.split(":");
  const socket = connect({ host, port: Number(port) });
  closers.push(() => socket.destroy());
  return socket;
}

/** Waits until the connection has ended, and says with which error. */
function ended(socket: Socket): Promise<string | undefined> {
  return new Promise((resolve) => {
    let code: string | undefined;
    socket.on("error", (error: NodeJS.ErrnoException) => void (code = error.code));
    socket.on("close", () => resolve(code));
  });
}

/** What comes back within a while. */
async function echoOf(socket: Socket, text: string, wait = 150): Promise<string> {
  let got = "";
  const listener = (chunk: Buffer): void => void (got += String(chunk));
  socket.on("data", listener);
  socket.write(text);
  await new Promise((resolve) => setTimeout(resolve, wait));
  socket.off("data", listener);
  return got;
}

test("a link passes on what it is given, and later where it is slow", async () => {
  const { link } = await setUp();
  const socket = open(link);
  expect(await echoOf(socket, "a")).toBe("a");
  link.setMood(LinkMood.Slow);
  expect(await echoOf(socket, "b")).toBe("");
  expect(await echoOf(socket, "c", 900)).toBe("bc");
});

test("answers are lost, and what was asked has arrived", async () => {
  const { link, heard } = await setUp();
  const socket = open(link);
  link.setMood(LinkMood.AnswersLost);
  expect(await echoOf(socket, "write")).toBe("");
  expect(heard).toEqual(["write"]);
});

test("a connection that went silent stays so, and new ones work again", async () => {
  const { link, heard } = await setUp();
  const socket = open(link);
  link.setMood(LinkMood.Silent);
  expect(await echoOf(socket, "lost")).toBe("");
  link.setMood(LinkMood.Well);
  expect(await echoOf(socket, "after")).toBe("");
  expect(heard).toEqual([]);
  expect(await echoOf(open(link), "new")).toBe("new");
});

test("connections are reset, open ones and new ones", async () => {
  const { link } = await setUp();
  const socket = open(link);
  expect(await echoOf(socket, "a")).toBe("a");
  const reset = ended(socket);
  link.setMood(LinkMood.Resetting);
  expect(await reset).toBe("ECONNRESET");
  expect(await ended(open(link))).toBe("ECONNRESET");
});

test("a link refuses connections once what is behind it has ended", async () => {
  const { link } = await setUp();
  const socket = open(link);
  expect(await echoOf(socket, "a")).toBe("a");
  const broken = ended(socket);
  for (const close of closers.splice(0, 1)) await close();
  await broken;
  expect(await ended(open(link))).toBe("ECONNREFUSED");
});
