import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { z } from "zod";
import { splitAddress } from "../connection/http_listener.ts";
import { createJsonCaller } from "../connection/json_call.ts";
import { sample } from "../decision/index.ts";
import { sleep } from "../interface/index.ts";
import type { Clock, Random } from "../interface/index.ts";

const counts = z.record(z.string(), z.number());

/** What an instance says of itself several times a second. Times are in milliseconds. */
const digestSchema = z.object({
  name: z.string(),
  /** Tells the process from the one before it at the same place. */
  incarnation: z.string(),
  sequence: z.number(),
  zone: z.string(),
  /** Where callers connect, `IP:PORT`. */
  callers: z.string(),
  /** Where other instances send digests and fetch objects, `IP:PORT`. */
  peers: z.string(),
  /** Whether it takes new requests. */
  ready: z.boolean(),
  /** Whether the platform's store answers it. */
  reachesStore: z.boolean(),
  /** Whether it holds the lease of the calls that one instance at a time makes. */
  holdsLease: z.boolean(),
  /** What it holds for the time of day. */
  time: z.number(),
  /** The store's version of the last change that it knows, by kind of object. */
  versions: counts,
  /** Tokens or requests admitted since its start, by client account. */
  admitted: counts,
  /** Runs begun, by window and client account. */
  usage: z.array(z.object({ window: z.number(), counts })),
  /** By worker: requests there, prompt tokens not read yet, runs and failures lately. */
  use: z.record(z.string(), z.tuple([z.number(), z.number(), z.number(), z.number()])),
  /** Workers that it knows to leave. */
  leaving: z.array(z.string()),
  /** Where it has heard other instances. */
  known: z.array(z.string()),
});

/** What an instance says of itself several times a second. */
export type Digest = z.infer<typeof digestSchema>;

/** Another instance, as it was last heard. */
export interface HeardPeer {
  readonly digest: Digest;
  /** In the clock's milliseconds. */
  readonly heardAt: number;
}

/** Digests between entry instances. */
export interface PeerExchange {
  /** Instances heard lately, by name. */
  live(): readonly HeardPeer[];
  /** Instances that are expected to be there: heard within half a minute, this one included. */
  readonly members: number;
  /** Gives addresses of instances to begin with. */
  introduce(addresses: readonly string[]): void;
  /** Sends a digest to all now, since something has changed that can't wait. */
  announce(): void;
  start(): Promise<void>;
  close(): void;
}

/** What the exchange is made with. */
export interface PeerExchangeParts {
  readonly clock: Clock;
  readonly random: Random;
  /** `IP:PORT` to receive digests at. */
  readonly listen: string;
  /** Makes this instance's digest; its addresses of others are added here. */
  readonly digest: () => Omit<Digest, "known" | "sequence">;
  readonly onDigest: (digest: Digest) => void;
  readonly onChange: () => void;
  /** Something couldn't be sent or read. */
  readonly onFault: (detail: string) => void;
}

/** Milliseconds between two digests to the same instance, in a fleet of up to {@linkcode FAN_OUT}. */
const PERIOD = 250;
/** Digests sent a period: in a larger fleet each instance is told less often, for the same bytes a second. */
const FAN_OUT = 12;
/** An instance that wasn't heard for so long is taken to be gone: lost packets alone don't make four gaps. */
const LIVE_TIME = 1_100;
const LIVE_PERIODS = 4.4;
/** An instance silent for so long isn't expected back. */
const MEMBER_TIME = 30_000;
/** Bytes of a digest before it is compressed; those of a large fleet's instance have some thousand. */
const GREATEST_DIGEST = 262_144;
/** Addresses passed on in a digest. */
const PASSED_ON = 8;

interface Peer {
  heardAt: number;
  digest: Digest | undefined;
  isLive: boolean;
}

/**
 * Makes the exchange. Digests are datagrams: a connection between two instances can go silent for good without
 * either noticing, and a digest that is lost is made good by the next.
 */
export function createPeerExchange(parts: PeerExchangeParts): PeerExchange {
  const { clock, random } = parts;
  const peers = new Map<string, Peer>();
  const [host, port] = splitAddress(parts.listen);
  let socket: Socket | undefined;
  let sequence = 0;
  let closed = false;
  const isClosed = (): boolean => closed;

  const liveTime = (): number => {
    const rounds = Math.max(1, peers.size / FAN_OUT);
    return Math.max(LIVE_TIME, LIVE_PERIODS * PERIOD * rounds);
  };
  const introduce = (addresses: readonly string[]): void => {
    for (const address of addresses) {
      if (address === parts.listen || peers.has(address)) continue;
      peers.set(address, { heardAt: -Infinity, digest: undefined, isLive: false });
    }
  };
  const send = (targets: readonly string[]): void => {
    if (targets.length === 0 || socket === undefined) return;
    const known = sample([...peers.keys()], { count: PASSED_ON, random });
    const digest: Digest = { ...parts.digest(), sequence: ++sequence, known };
    const bytes = deflateRawSync(JSON.stringify(digest), { level: 1 });
    for (const target of targets) {
      const [to, at] = splitAddress(target);
      socket.send(bytes, at, to, (error) => {
        if (error !== null) parts.onFault(`A digest to ${target} wasn't sent: ${error.message}.`);
      });
    }
  };
  const receive = (bytes: Buffer): void => {
    const digest = parseDigest(bytes);
    if (digest === undefined) {
      parts.onFault("A datagram was no digest.");
      return;
    }
    if (digest.peers === parts.listen) return;
    const peer = peers.get(digest.peers) ?? { heardAt: 0, digest: undefined, isLive: false };
    peers.set(digest.peers, peer);
    const before = peer.digest;
    // A datagram can overtake another.
    const isOld = before?.incarnation === digest.incarnation && before.sequence >= digest.sequence;
    if (isOld) return;
    peer.heardAt = clock.now();
    peer.digest = digest;
    introduce(digest.known);
    parts.onDigest(digest);
    const changed = !peer.isLive || before?.ready !== digest.ready;
    peer.isLive = true;
    if (changed) parts.onChange();
  };
  const expire = (): void => {
    const limit = clock.now() - liveTime();
    let changed = false;
    for (const peer of peers.values()) {
      if (!peer.isLive || peer.heardAt >= limit) continue;
      peer.isLive = false;
      changed = true;
    }
    if (changed) parts.onChange();
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      expire();
      send(sample([...peers.keys()], { count: FAN_OUT, random }));
      await sleep(clock, PERIOD * (0.9 + 0.2 * random.next()));
    }
  };
  return {
    live: () =>
      [...peers.values()].flatMap(({ isLive, digest, heardAt }) =>
        isLive && digest !== undefined ? [{ digest, heardAt }] : [],
      ),
    get members() {
      const from = clock.now() - MEMBER_TIME;
      return 1 + [...peers.values()].filter(({ heardAt }) => heardAt >= from).length;
    },
    introduce,
    announce: () => send([...peers.keys()]),
    start: () =>
      new Promise((resolve, reject) => {
        const opened = createSocket("udp4");
        opened.once("error", reject);
        opened.on("message", receive);
        opened.bind({ address: host, port }, () => {
          opened.off("error", reject);
          opened.on("error", (error) =>
            parts.onFault(`The digest socket failed: ${error.message}.`),
          );
          socket = opened;
          void run();
          resolve();
        });
      }),
    close: () => {
      closed = true;
      socket?.close();
      socket = undefined;
    },
  };
}

function parseDigest(bytes: Buffer): Digest | undefined {
  try {
    const text = inflateRawSync(bytes, { maxOutputLength: GREATEST_DIGEST }).toString("utf8");
    const parsed = digestSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // Neither compressed nor JSON: the caller counts it.
    return undefined;
  }
}

/** How long a peer may take to send its objects, in milliseconds. */
const FETCH_TIMEOUT = 1_000;

const fetchedSchema = z.object({
  version: z.number(),
  objects: z.array(z.object({ name: z.string(), version: z.number(), value: z.unknown() })),
});

/** Objects of a kind as another instance has them. */
export type FetchedObjects = z.infer<typeof fetchedSchema>;

/**
 * Fetches all objects of a kind from another instance.
 *
 * @param peer Its address for other instances.
 * @throws {Error} If it doesn't answer in time or answers something else.
 */
export async function fetchObjects(peer: string, kind: string): Promise<FetchedObjects> {
  const caller = createJsonCaller(peer, 1);
  try {
    const path = `/objects/${encodeURIComponent(kind)}`;
    const answer = await caller.call({ method: "GET", path, timeout: FETCH_TIMEOUT });
    return fetchedSchema.parse(answer.body);
  } finally {
    caller.close();
  }
}
