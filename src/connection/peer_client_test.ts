import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { Refusal, RequestState, sleep, SlotOutcome } from "../interface/index.ts";
import type { Clock, Member, PeerHandlers, RequestRecord } from "../interface/index.ts";
import { createPeerClient } from "./peer_client.ts";
import { listenPeers } from "./peer_listener.ts";
import { LOOPBACK_TLS } from "./testing/loopback_tls.ts";

const CLOCK: Clock = {
  now: () => performance.now(),
  date: () => new Date(),
  after: (milliseconds, run) => {
    const timer = setTimeout(run, milliseconds);
    return { close: () => clearTimeout(timer) };
  },
};

const RECORD: RequestRecord = {
  id: "r1-0123456789abcdef",
  slot: 1,
  account: "club",
  service: "entry-model",
  state: RequestState.Accepted,
  repeatable: false,
  detached: false,
  keyed: false,
  fingerprint: "f",
  path: "/v1/chat/completions",
  body: "{}",
  attempt: 1,
  worker: "",
  tokens: [],
  tokensFrom: 0,
  reason: Refusal.None,
  detail: "",
  acceptedAt: 1,
  deadlineAt: 2,
  sequence: 1,
};

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

interface RecordingHandlers {
  readonly handlers: PeerHandlers;
  readonly replicated: string[];
}

function recordingHandlers(): RecordingHandlers {
  const replicated: string[] = [];
  return {
    replicated,
    handlers: {
      replicate: ({ epoch, record }) => {
        replicated.push(record.id);
        return { outcome: SlotOutcome.Acknowledged, epoch };
      },
      cede: ({ epoch }) => ({ outcome: SlotOutcome.NotNamed, epoch }),
      probe: ({ from, deltas, versions }) =>
        Promise.resolve({ from, reached: true, deltas, versions }),
      pull: (key) => (key === "known" ? { version: 7, value: "v" } : undefined),
      relay: async function* ({ record }) {
        yield { kind: "accepted", id: record.id };
        await Promise.resolve();
        yield { kind: "token", index: 0, text: "Yes" };
      },
      ask: ({ epoch }) => Promise.resolve({ outcome: SlotOutcome.StaleEpoch, epoch }),
    },
  };
}

async function startPeer(
  handlers: PeerHandlers,
): Promise<{ address: string; refused: () => number }> {
  let refused = 0;
  const listener = await listenPeers("127.0.0.1:0", handlers, {
    security: { peerKey: "key-of-the-instances" },
    onUnauthenticated: () => refused++,
  });
  closers.push(() => listener.close());
  return { address: listener.address, refused: () => refused };
}

function createPeers(peerKey: string): ReturnType<typeof createPeerClient> {
  const peers = createPeerClient({ self: "e1#1", clock: CLOCK, security: { peerKey } });
  closers.push(() => peers.close());
  return peers;
}

function memberAt(address: string): Member {
  return { id: "e2#1", address, callerAddress: "", zone: "a" };
}

// Guards against a call whose encoding, route or decoding doesn't match on the two sides.
test("every kind of call reaches the peer and returns its reply", async () => {
  const { handlers, replicated } = recordingHandlers();
  const to = memberAt((await startPeer(handlers)).address);
  const peers = createPeers("key-of-the-instances");
  const message = { from: "e1#1", slot: 1, epoch: 3, record: RECORD };
  const replies = await Promise.all([1, 2, 3].map(() => peers.replicate(to, message)));
  expect(replies.map((reply) => reply.outcome)).toEqual(Array(3).fill(SlotOutcome.Acknowledged));
  expect(replicated).toHaveLength(3);
  const handover = { from: "e1#1", slot: 1, epoch: 3, custody: false, records: [RECORD] };
  expect(await peers.cede(to, handover)).toEqual({ outcome: SlotOutcome.NotNamed, epoch: 3 });
  expect(await peers.pull(to, "known")).toEqual({ version: 7, value: "v" });
  expect(await peers.pull(to, "unknown")).toBeUndefined();
  const events = [];
  const relayed = { ...message, hops: 0, fromToken: 0, follow: false };
  for await (const event of peers.relay(to, relayed, new AbortController().signal)) {
    events.push(event.kind);
  }
  expect(events).toEqual(["accepted", "token"]);
});

test("calls to a peer with a certificate use TLS", async () => {
  const { handlers } = recordingHandlers();
  const security = { peerKey: "key-of-the-instances", tls: LOOPBACK_TLS };
  const onUnauthenticated = (): void => undefined;
  const listener = await listenPeers("127.0.0.1:0", handlers, { security, onUnauthenticated });
  closers.push(() => listener.close());
  const peers = createPeerClient({ self: "e1#1", clock: CLOCK, security });
  closers.push(() => peers.close());
  expect(await peers.pull(memberAt(listener.address), "known")).toEqual({ version: 7, value: "v" });
  const plain = createPeers("key-of-the-instances");
  await expect(plain.pull(memberAt(listener.address), "known")).rejects.toMatchObject({
    step: "pull",
  });
});

test("a call without the peer key is rejected and counted", async () => {
  // Guards against another process in the network calling an entry instance: it could take over slots,
  // and callers would get the responses of others or none.
  const { handlers, replicated } = recordingHandlers();
  const { address, refused } = await startPeer(handlers);
  const peers = createPeers("a-key-that-was-guessed");
  const message = { from: "e9#1", slot: 1, epoch: 3, record: RECORD };
  await expect(peers.replicate(memberAt(address), message)).rejects.toMatchObject({
    step: "replicate",
    peer: "e2#1",
  });
  await expect(peers.pull(memberAt(address), "known")).rejects.toMatchObject({ step: "pull" });
  expect(replicated).toHaveLength(0);
  expect(refused()).toBeGreaterThan(0);
});

test("a silent connection is replaced without reporting the peer as failed", async () => {
  // A middlebox drops the state of an open connection: it stays open but carries nothing, while new
  // connections work. Without a new connection, no request on the shared slots could be accepted.
  const { handlers, replicated } = recordingHandlers();
  const { address } = await startPeer(handlers);
  const proxy = await startProxy(address);
  const peers = createPeers("key-of-the-instances");
  const to = memberAt(proxy.address);
  const message = { from: "e1#1", slot: 1, epoch: 3, record: RECORD };
  await peers.replicate(to, message);
  proxy.silenceConnections();
  const reply = await peers.replicate(to, message);
  expect(reply.outcome).toBe(SlotOutcome.Acknowledged);
  expect(replicated).toHaveLength(2);
});

test("calls that time out on the same silent connection share one new connection", async () => {
  // Under load, many calls on a silent connection time out at once. If each replaced the connection that
  // the one before had just opened, none would succeed and the instance would reject all callers.
  const { handlers, replicated } = recordingHandlers();
  const { address } = await startPeer(handlers);
  const proxy = await startProxy(address);
  const peers = createPeers("key-of-the-instances");
  const to = memberAt(proxy.address);
  const message = { from: "e1#1", slot: 1, epoch: 3, record: RECORD };
  await peers.replicate(to, message);
  proxy.silenceConnections();
  const replies = await Promise.all(
    Array.from({ length: 50 }, () => peers.replicate(to, message).catch(() => undefined)),
  );
  expect(replies.filter((reply) => reply?.outcome === SlotOutcome.Acknowledged)).toHaveLength(50);
  expect(replicated).toHaveLength(51);
});

test("a relay on a silent connection fails", async () => {
  // An owner streams tokens to the instance that the caller is connected to, and the connection between the
  // two stops delivering data. Without the liveness check the caller would wait until its deadline, although
  // the owner has the tokens and new connections work.
  const { handlers } = recordingHandlers();
  const { address } = await startPeer({
    ...handlers,
    relay: async function* (_message, signal) {
      yield { kind: "token", index: 0, text: "Yes" };
      await new Promise((resolve) => signal.addEventListener("abort", resolve));
    },
  });
  const proxy = await startProxy(address);
  const peers = createPeers("key-of-the-instances");
  const relayed = { from: "e1#1", slot: 1, epoch: 3, record: RECORD };
  const events = peers.relay(
    memberAt(proxy.address),
    { ...relayed, hops: 0, fromToken: 0, follow: false },
    new AbortController().signal,
  );
  const iterator = events[Symbol.asyncIterator]();
  expect(await iterator.next()).toMatchObject({ value: { kind: "token" } });
  proxy.silenceConnections();
  await expect(iterator.next()).rejects.toMatchObject({ step: "relay" });
});

// A peer without processor time answered late. Its connection was replaced, and all calls and relays were repeated.
test("a call that is slow on a connection that delivers other replies is sent once", async () => {
  const { handlers } = recordingHandlers();
  let probes = 0;
  const { address } = await startPeer({
    ...handlers,
    probe: async ({ from, deltas, versions }) => {
      probes++;
      await sleep(CLOCK, 800);
      return { from, reached: true, deltas, versions };
    },
  });
  const peers = createPeers("key-of-the-instances");
  const to = memberAt(address);
  const probing = peers.probe(to, { from: "e1#1", deltas: [], versions: [] });
  await sleep(CLOCK, 200);
  await peers.pull(to, "known");
  expect(await probing).toMatchObject({ reached: true });
  expect(probes).toBe(1);
});

// Each relay left a check of its own behind. Under load, one that failed then aborted all relays several times a second.
test("a connection has one liveness check at a time, however many relays were opened on it", async () => {
  const { handlers } = recordingHandlers();
  let checks = 0;
  const { address } = await startPeer({
    ...handlers,
    pull: () => {
      checks++;
      return undefined;
    },
  });
  const timers: (() => void)[] = [];
  const clock: Clock = {
    ...CLOCK,
    after: (_milliseconds, run) => {
      timers.push(run);
      return { close: () => undefined };
    },
  };
  const security = { peerKey: "key-of-the-instances" };
  const peers = createPeerClient({ self: "e1#1", clock, security });
  closers.push(() => peers.close());
  const message = { from: "e1#1", slot: 1, epoch: 3, record: RECORD, hops: 0, fromToken: 0 };
  const { signal } = new AbortController();
  const open = (): AsyncIterable<unknown> =>
    peers.relay(memberAt(address), { ...message, follow: false }, signal);
  const readToEnd = async (): Promise<void> => {
    const events = open()[Symbol.asyncIterator]();
    while ((await events.next()).done !== true);
  };
  for (let count = 0; count < 20; count++) await readToEnd();
  const last = open()[Symbol.asyncIterator]();
  await last.next();
  for (const run of timers.splice(0)) run();
  await expect.poll(() => checks).toBeGreaterThan(0);
  await last.return?.();
  expect(checks).toBe(1);
});

interface TestProxy {
  readonly address: string;
  /** Stops forwarding on all open connections without closing them. */
  silenceConnections(): void;
}

/** Starts a TCP proxy to an address that can stop forwarding on its open connections. */
async function startProxy(target: string): Promise<TestProxy> {
  const open = new Set<Socket>();
  const [host, port] = target.split(":");
  const server: Server = createServer((client) => {
    const upstream = connect({ host: host ?? "", port: Number(port) });
    for (const socket of [client, upstream]) {
      open.add(socket);
      socket.on("error", () => socket.destroy());
    }
    client.pipe(upstream).pipe(client);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  closers.push(() => {
    for (const socket of open) socket.destroy();
    server.close();
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    silenceConnections: () => {
      for (const socket of open) {
        socket.unpipe();
        socket.pause();
      }
    },
  };
}
