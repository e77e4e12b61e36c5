import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { reserveLoopbackAddress } from "./loopback_address.ts";

const servers: Server[] = [];
const sockets: Socket[] = [];
afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const server of servers.splice(0)) server.close();
});

async function listen(host: string, port: number): Promise<number> {
  const server = createServer((socket) => sockets.push(socket));
  servers.push(server);
  server.listen(port, host);
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

// Guards against a test instance that fails to bind its port because an outgoing connection already uses it.
test("an address can be bound while an outgoing connection uses the same port", async () => {
  const target = await listen("127.0.0.1", 0);
  const [host = ""] = reserveLoopbackAddress().split(":");
  for (let index = 0; index < 20; index++) {
    const outgoing = connect(target, "127.0.0.1");
    sockets.push(outgoing);
    await once(outgoing, "connect");
    const port = outgoing.localPort ?? 0;
    expect(await listen(host, port)).toBe(port);
  }
});

// Guards against two listeners of one test on the same address.
test("no address is returned twice", () => {
  const taken = Array.from({ length: 100 }, reserveLoopbackAddress);
  expect(new Set(taken).size).toBe(taken.length);
});
