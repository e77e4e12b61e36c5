import { request } from "node:http";
import { createServer } from "node:net";
import type { Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { ConnectResult, createSeededRandom, DialFailure, sleep } from "../interface/index.ts";
import type { WorkerEndpoint } from "../interface/index.ts";
import { systemClock } from "../process/system_clock.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { connectTcp, wasReset } from "./dial.ts";
import type { Connect, DialedConnection } from "./dial.ts";
import { listenHttp } from "./http_listener.ts";
import { dialRelayed } from "./relay_dial.ts";
import { reserveLoopbackAddress } from "./testing/loopback_address.ts";
import { createWorkerPath } from "./worker_path.ts";
import type { WorkerPath } from "./worker_path.ts";
import { createWorkerRelay } from "./worker_relay.ts";
import type { WorkerRelay } from "./worker_relay.ts";

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

/** Starts a worker that handles each connection with the given function; resolves with its address. */
async function startWorker(serve: (socket: Socket) => void): Promise<string> {
  const address = reserveLoopbackAddress();
  const [host, port] = address.split(":");
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    serve(socket);
  });
  await new Promise<void>((resolve) => server.listen(Number(port), host, resolve));
  closers.push(() => {
    for (const socket of sockets) socket.destroy();
    return new Promise((resolve) => server.close(resolve));
  });
  return address;
}

/** Starts an instance that relays connections to the worker at `known`; resolves with its address. */
async function startRelay(
  known: string,
  {
    connect,
    maxConnections,
    isStopping = () => false,
    whenRead,
    onCreated,
  }: {
    connect?: Connect;
    maxConnections?: number;
    isStopping?: () => boolean;
    whenRead?: (pass: () => void) => void;
    onCreated?: (relay: WorkerRelay) => void;
  } = {},
): Promise<string> {
  const path = createWorkerPath({ clock: systemClock, random: createSeededRandom(1), connect });
  const relay = createWorkerRelay({
    path,
    ...(maxConnections === undefined ? {} : { maxConnections }),
    isStopping,
    whenRead,
    workerAt: (address) => (address === known ? { id: "i-1", startedAt: 1, address } : undefined),
  });
  onCreated?.(relay);
  const listener = await listenHttp(reserveLoopbackAddress(), (_, response) => response.end(), {
    onConnect: (request, stream, head) => relay.handle(request, stream, head),
  });
  closers.push(
    () => relay.close(),
    () => listener.close(),
  );
  return listener.address;
}

function dial(target: string, relays: readonly string[]): Promise<DialedConnection | DialFailure> {
  return new Promise((resolve) => {
    dialRelayed(
      target,
      { clock: systemClock, relays, onRelayFailed: () => undefined },
      { opened: resolve, failed: resolve },
    );
  });
}

/**
 * Opens a relayed connection, sends a line, and returns what the worker sent and whether the connection ended otherwise
 * than by an orderly close of the worker.
 */
async function exchange(
  target: string,
  relay: string,
): Promise<{ text: string; isReset: boolean }> {
  const dialed = await dial(target, [relay]);
  if (typeof dialed === "string") throw new Error(`Not connected: ${dialed}`);
  const { socket, decoder } = dialed;
  socket.write("hello");
  let text = "";
  return new Promise((resolve) => {
    socket.on("data", (bytes) => (text += String(decoder?.decode(bytes))));
    socket.on("error", () => resolve({ text, isReset: true }));
    socket.on("end", () => {
      resolve({ text, isReset: wasReset(socket) || decoder?.hasWorkerEnd !== true });
      socket.destroy();
    });
  });
}

test("a relayed connection carries bytes both ways and ends in an orderly way like the worker's", async () => {
  const worker = await startWorker((socket) =>
    socket.once("data", (one) => socket.end(`${String(one)} back`)),
  );
  const relay = await startRelay(worker);
  expect(await exchange(worker, relay)).toEqual({ text: "hello back", isReset: false });
});

// Guards against an incomplete response that looks complete because a relay turned the worker's reset into a close.
test("a reset by the worker arrives as a reset", async () => {
  const worker = await startWorker((socket) =>
    socket.once("data", () =>
      socket.write("half", () => setTimeout(() => socket.resetAndDestroy(), 20)),
    ),
  );
  const relay = await startRelay(worker);
  expect((await exchange(worker, relay)).isReset).toBe(true);
});

// Guards against an incomplete response that looks complete because the relaying instance ended.
test("the end of a relay isn't taken for the end of the worker", async () => {
  let relay: WorkerRelay | undefined;
  const worker = await startWorker((socket) =>
    socket.once("data", () => socket.write("half", () => setTimeout(() => relay?.close(), 20))),
  );
  const address = await startRelay(worker, { onCreated: (created) => (relay = created) });
  expect(await exchange(worker, address)).toEqual({ text: "half", isReset: true });
});

// Guards against answers that are cut because an instance began to relay them although it was about to end.
test("a stopping instance relays no further connections, and another one is asked", async () => {
  let isStopping = false;
  const worker = await startWorker((socket) =>
    socket.on("data", (bytes) => socket.write(`${String(bytes)} back`)),
  );
  const stopping = await startRelay(worker, { isStopping: () => isStopping });
  const before = await dial(worker, [stopping]);
  if (typeof before === "string") throw new Error(`Not connected: ${before}`);
  isStopping = true;
  expect(await dial(worker, [stopping])).toBe(DialFailure.NoPath);
  expect(await dial(worker, [stopping, await startRelay(worker)])).toMatchObject({
    isRelayed: true,
  });
  const { socket, decoder } = before;
  socket.write("hello");
  const bytes = await new Promise<Buffer>((resolve) => socket.once("data", resolve));
  expect(String(decoder?.decode(bytes))).toBe("hello back");
  socket.destroy();
});

// Guards against instances of an earlier version that read frames as a part of their workers' responses.
test("an instance that asks for no framing gets the worker's own bytes", async () => {
  const worker = await startWorker((socket) =>
    socket.once("data", (one) => socket.end(`${String(one)} back`)),
  );
  const [host, port] = (await startRelay(worker)).split(":");
  const attempt = request({ host, port, method: "CONNECT", path: worker, agent: false });
  const text = await new Promise<string>((resolve) => {
    attempt.on("connect", (_, socket) => {
      let received = "";
      socket.on("data", (bytes) => (received += String(bytes)));
      socket.on("end", () => resolve(received));
      socket.write("hello");
    });
    attempt.end();
  });
  expect(text).toBe("hello back");
});

// Guards against a worker that keeps working on a request whose caller has left.
test("the worker's connection is closed at once when the instance closes the relayed one", async () => {
  let closed: (value: unknown) => void;
  const closing = new Promise((resolve) => (closed = resolve));
  const worker = await startWorker((socket) => socket.on("close", () => closed(true)));
  const dialed = await dial(worker, [await startRelay(worker)]);
  if (typeof dialed === "string") throw new Error(`Not connected: ${dialed}`);
  dialed.socket.destroy();
  const timeout = new Promise((resolve) => setTimeout(resolve, 500, false));
  expect(await Promise.race([closing, timeout])).toBe(true);
});

// Guards against a relay that opens connections to any address that it is asked for.
test("a connection to an address without a registered worker is not relayed", async () => {
  let accepted = 0;
  const other = await startWorker(() => accepted++);
  const relay = await startRelay("127.0.0.1:1");
  expect(await dial(other, [relay])).toBe(DialFailure.NoPath);
  expect(accepted).toBe(0);
});

// Guards against treating a worker that has ended as a fault of the relay, and the other way round.
test("a worker that refuses is distinguished from a relay that has ended, and another relay is tried", async () => {
  const ended = reserveLoopbackAddress();
  expect(await dial(ended, [await startRelay(ended)])).toBe(DialFailure.Refused);
  const worker = await startWorker((socket) => socket.once("data", () => socket.end("ok")));
  expect(await dial(worker, [reserveLoopbackAddress()])).toBe(DialFailure.NoPath);
  const dialed = await dial(worker, [reserveLoopbackAddress(), await startRelay(worker)]);
  expect(dialed).toMatchObject({ isRelayed: true });
});

// Guards against requests that are blamed for the end of workers which only this instance can't reach.
test("a refused connection means that a worker has ended only if another instance finds the same", async () => {
  const worker = { id: "i-1", startedAt: 1, address: await startWorker(() => undefined) };
  const relays = [await startRelay(worker.address)];
  const parts = { clock: systemClock, random: createSeededRandom(1), relays: () => relays };
  const refused = createWorkerPath({
    ...parts,
    connect: () => connectTcp(reserveLoopbackAddress()),
  });
  expect(await refused.tryConnect(worker)).toBe(ConnectResult.Accepted);
  const address = reserveLoopbackAddress();
  relays.splice(0, 1, await startRelay(address));
  expect(await refused.tryConnect({ ...worker, address })).toBe(ConnectResult.Refused);
});

// Guards against a worker that counts as ended because two instances can't reach it, while a third one does.
test("a worker that one of three instances reaches has not ended", async () => {
  const address = await startWorker(() => undefined);
  const worker = { id: "i-1", startedAt: 1, address };
  const refuse: Connect = () => connectTcp(reserveLoopbackAddress());
  const relays = [await startRelay(address, { connect: refuse }), await startRelay(address)];
  for (let seed = 1; seed <= 10; seed++) {
    const path = createWorkerPath({
      clock: systemClock,
      random: createSeededRandom(seed),
      relays: () => relays,
      connect: refuse,
    });
    expect(await path.tryConnect(worker)).toBe(ConnectResult.Accepted);
    path.close();
  }
});

// Guards against requests that are held by an instance which is paused, and refused too late.
test("an instance that doesn't answer holds no request longer than 400 ms", async () => {
  const paused = await startWorker(() => undefined);
  const clock = createVirtualClock();
  const results: unknown[] = [];
  dialRelayed(
    "127.0.0.1:1",
    { clock, relays: [paused], onRelayFailed: () => undefined },
    { opened: () => results.push("opened"), failed: (failure) => results.push(failure) },
  );
  await clock.advance(399);
  expect(results).toEqual([]);
  await clock.advance(1);
  expect(results).toEqual([DialFailure.NoPath]);
});

// Guards against waiting for a paused instance while another one reaches the worker.
test("another instance is asked if one doesn't answer", async () => {
  const worker = await startWorker(() => undefined);
  const paused = await startWorker(() => undefined);
  const dialed = await dial(worker, [paused, await startRelay(worker)]);
  expect(dialed).toMatchObject({ isRelayed: true });
});

// Guards against an instance that all others use and that has no capacity left for its own callers.
test("an instance relays no more than the maximum number of connections at the same time", async () => {
  const worker = await startWorker(() => undefined);
  const relay = await startRelay(worker, { maxConnections: 1 });
  expect(await dial(worker, [relay])).toMatchObject({ isRelayed: true });
  expect(await dial(worker, [relay])).toBe(DialFailure.NoPath);
});

/** Connects to a worker that resets all connections. */
async function connectToReset(): Promise<Connect> {
  const resetting = await startWorker((socket) => socket.resetAndDestroy());
  return () => connectTcp(resetting);
}

// Guards against a worker that is avoided, also by other instances, because one of them lost its path to it.
test("a missing response is due to the path if another instance reaches the worker, and only then", async () => {
  const address = await startWorker(() => undefined);
  const worker = { id: "i-1", startedAt: 1, address };
  const relays = [await startRelay(address)];
  const parts = { clock: systemClock, random: createSeededRandom(1), relays: () => relays };
  const cut = createWorkerPath({ ...parts, connect: await connectToReset() });
  expect(await cut.hasLostPath(worker)).toBe(true);
  expect(cut.lostCount).toBe(1);
  expect(await createWorkerPath(parts).hasLostPath(worker)).toBe(false);
  const connect = await connectToReset();
  relays.splice(0, 1, await startRelay(address, { connect }));
  expect(await createWorkerPath({ ...parts, connect }).hasLostPath(worker)).toBe(false);
  cut.close();
});

/** Starts two instances that relay for each other; resolves with their paths. */
async function startInstances(workers: readonly WorkerEndpoint[]): Promise<WorkerPath[]> {
  const addresses = [reserveLoopbackAddress(), reserveLoopbackAddress()];
  const paths = addresses.map((own, index) =>
    createWorkerPath({
      clock: systemClock,
      random: createSeededRandom(index + 1),
      relays: () => addresses.filter((address) => address !== own),
    }),
  );
  for (const [index, path] of paths.entries()) {
    const workerAt = (address: string): WorkerEndpoint | undefined =>
      workers.find((worker) => worker.address === address);
    const relay = createWorkerRelay({ path, workerAt, isStopping: () => false });
    const listener = await listenHttp(addresses[index] ?? "", (_, response) => response.end(), {
      onConnect: (request, stream, head) => relay.handle(request, stream, head),
    });
    closers.push(
      () => path.close(),
      () => relay.close(),
      () => listener.close(),
    );
  }
  return paths;
}

// Guards against instances that take the end of several workers for the loss of their paths, so that none confirms to
// another that a worker has ended.
test("all instances find that each worker of a group has ended", async () => {
  const workers = [1, 2, 3, 4, 5].map((index) => ({
    id: `i-${index}`,
    startedAt: 1,
    address: reserveLoopbackAddress(),
  }));
  const paths = await startInstances(workers);
  const checks = paths.flatMap((path) => workers.map((worker) => path.tryConnect(worker)));
  const found = new Set(await Promise.all(checks));
  expect([...found]).toEqual([ConnectResult.Refused]);
  expect(paths.map(({ lostCount }) => lostCount)).toEqual([0, 0]);
});

// Guards against a request that is passed on after a stall of the relaying instance although its sender has given it up.
test("bytes that are read late aren't relayed if their sender has closed the connection", async () => {
  let received = "";
  const worker = await startWorker((socket) => {
    socket.on("data", (bytes) => (received += String(bytes)));
  });
  const passes: (() => void)[] = [];
  const relay = await startRelay(worker, { whenRead: (pass) => void passes.push(pass) });
  const dialed = await dial(worker, [relay]);
  if (typeof dialed === "string") throw new Error(`Not connected: ${dialed}`);
  dialed.socket.write("request");
  await expect.poll(() => passes.length).toBe(1);
  dialed.socket.destroy();
  await sleep(systemClock, 50);
  for (const pass of passes) pass();
  await sleep(systemClock, 50);
  expect(received).toBe("");
});
