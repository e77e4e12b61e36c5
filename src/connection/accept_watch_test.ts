import { once } from "node:events";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { expect, test } from "vitest";
import { systemClock } from "../process/system_clock.ts";
import { createAcceptWatch } from "./accept_watch.ts";
import type { AcceptSeries } from "./accept_watch.ts";

async function listen(onAcceptSeries: (series: AcceptSeries) => void): Promise<Server> {
  const server = createServer((_request, response) => void response.end());
  createAcceptWatch({ clock: systemClock, onAcceptSeries }).apply(server);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

function open(server: Server): Socket {
  const { port } = server.address() as AddressInfo;
  return connect(port, "127.0.0.1").on("error", () => undefined);
}

function occupy(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

test("connections that wait to be accepted are reported with the time that it took", async () => {
  const reported: AcceptSeries[] = [];
  const server = await listen((series) => void reported.push(series));
  // Each turn takes long, as in a process with too much to do.
  server.on("connection", () => occupy(20));
  const sockets = Array.from({ length: 30 }, () => open(server));
  await expect.poll(() => reported.length, { timeout: 5_000 }).toBe(1);
  expect(reported[0]?.connections).toBe(30);
  expect(reported[0]?.duration).toBeGreaterThanOrEqual(580);
  for (const socket of sockets) socket.destroy();
  server.close();
});

test("connections that are accepted at once are not reported", async () => {
  const reported: AcceptSeries[] = [];
  const server = await listen((series) => void reported.push(series));
  const sockets: Socket[] = [];
  for (let opened = 0; opened < 30; opened++) {
    const socket = open(server);
    await once(socket, "connect");
    sockets.push(socket);
    await new Promise((resolve) => setTimeout(resolve, 12));
  }
  expect(reported).toEqual([]);
  for (const socket of sockets) socket.destroy();
  server.close();
});
