import type { Client } from "@connectrpc/connect";
import type { Peer } from "../gen/peer_pb.ts";
import type { Clock, Member, PeerFailure, Peers, SlotReply } from "../interface/index.ts";
import {
  decodeAskReply,
  decodeProbeReply,
  decodeRelayEvent,
  decodeSlotReply,
  encodeAsk,
  encodeCede,
  encodeProbe,
  encodeRelay,
} from "./peer_codec.ts";
import { createPeerChannel } from "./peer_channel.ts";
import type { PeerChannel, PeerSecurity } from "./peer_channel.ts";
import { openReplicateStream } from "./replicate_stream.ts";
import type { ReplicateStream } from "./replicate_stream.ts";

/** How long a peer may take to answer a call, in milliseconds, before a new connection is tried. */
const CALL_TIMEOUT = 500;
/** Tries on a new connection after the first: something between the ends may have lost the old one. */
const RENEWALS = 1;

/** How often a connection with open relays is asked whether it still carries anything, in milliseconds. */
const CHECK_PERIOD = 1_000;
/** Names no object: a peer answers a pull of it at once, with nothing. */
const NO_OBJECT = "";

interface Link {
  readonly channel: PeerChannel;
  replicate: ReplicateStream | undefined;
  /** Grows with each new connection. */
  generation: number;
  /** Relays that are open on the connection; each is ended when it has gone silent. */
  readonly relays: Set<AbortController>;
}

/** What the peers' calls are made with. */
export interface ConnectPeersOptions {
  /** The member id of this instance. */
  readonly self: string;
  readonly clock: Clock;
  readonly security: PeerSecurity;
}

/** The calls between entry instances over Connect, one HTTP/2 connection a peer. */
export function createConnectPeers({ self, clock, security }: ConnectPeersOptions): Peers {
  const links = new Map<string, Link>();
  const linkTo = (address: string): Link => {
    const known = links.get(address);
    if (known !== undefined) return known;
    const link = {
      channel: createPeerChannel(address, security),
      replicate: undefined,
      generation: 0,
      relays: new Set<AbortController>(),
    };
    links.set(address, link);
    return link;
  };
  const call = async <T>(
    path: { to: Member; step: string },
    run: (link: Link) => Promise<T>,
  ): Promise<T> => {
    const link = linkTo(path.to.address);
    for (let renewals = 0; ; renewals++) {
      const { generation } = link;
      try {
        return await withTimeout(clock, run(link));
      } catch (cause) {
        if (renewals >= RENEWALS) throw peerFailure(path, cause);
        // Every call between instances is idempotent, so the same one may go over a new connection.
        // The first call to run out of time renews the connection for all that waited on the same one.
        if (link.generation === generation) renew(link);
      }
    }
  };
  const openRelay = (link: Link, silence: AbortController): void => {
    link.relays.add(silence);
    if (link.relays.size === 1) checkLater(link);
  };
  const checkLater = (link: Link): void => {
    clock.after(CHECK_PERIOD, () => void check(link));
  };
  /**
   * A relay waits for tokens, which may be long in coming. On a connection that has gone silent they never
   * come, and the caller would wait until its deadline: one check for all relays of the connection tells.
   */
  const check = async (link: Link): Promise<void> => {
    const relays = [...link.relays];
    if (relays.length === 0) return;
    try {
      await withTimeout(clock, link.channel.client().pull({ from: self, key: NO_OBJECT }));
    } catch (cause) {
      for (const silence of relays) silence.abort(cause);
      for (const silence of relays) link.relays.delete(silence);
      renew(link);
    }
    if (link.relays.size > 0) checkLater(link);
  };
  const unary = <T>(
    path: { to: Member; step: string },
    run: (client: Client<typeof Peer>) => Promise<T>,
  ): Promise<T> => call(path, (link) => run(link.channel.client()));

  return {
    replicate: (to, message) =>
      call({ to, step: "replicate" }, (link) => replicateStreamOf(link).send(message)),
    cede: (to, message): Promise<SlotReply> =>
      unary({ to, step: "cede" }, async (client) =>
        decodeSlotReply(await client.cede(encodeCede(message))),
      ),
    probe: (to, message) =>
      unary({ to, step: "probe" }, async (client) =>
        decodeProbeReply(await client.probe(encodeProbe(message))),
      ),
    pull: (to, key) =>
      unary({ to, step: "pull" }, async (client) => {
        const reply = await client.pull({ from: self, key });
        return reply.found ? { version: Number(reply.version), value: reply.value } : undefined;
      }),
    ask: (to, message) =>
      unary({ to, step: "ask" }, async (client) =>
        decodeAskReply(await client.ask(encodeAsk(message))),
      ),
    relay: async function* (to, message, signal) {
      const link = linkTo(to.address);
      const silence = new AbortController();
      openRelay(link, silence);
      try {
        const client = link.channel.client();
        const ending = AbortSignal.any([signal, silence.signal]);
        for await (const event of client.relay(encodeRelay(message), { signal: ending })) {
          yield decodeRelayEvent(event);
        }
      } catch (cause) {
        throw peerFailure({ to, step: "relay" }, cause);
      } finally {
        link.relays.delete(silence);
      }
    },
    close: () => {
      for (const link of links.values()) {
        link.replicate?.close();
        link.channel.close();
      }
    },
  };
}

function replicateStreamOf(link: Link): ReplicateStream {
  if (link.replicate !== undefined && !link.replicate.isBroken()) return link.replicate;
  const client = link.channel.client();
  const stream = openReplicateStream((messages, signal) => client.replicate(messages, { signal }));
  link.replicate = stream;
  return stream;
}

function renew(link: Link): void {
  link.generation++;
  link.replicate?.close();
  link.replicate = undefined;
  link.channel.renew();
}

function withTimeout<T>(clock: Clock, answer: Promise<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = clock.after(CALL_TIMEOUT, () => {
      reject(new Error(`No answer came within ${CALL_TIMEOUT} ms.`));
    });
    answer.then(resolve, reject).finally(() => timer.close());
  });
}

function peerFailure({ to, step }: { to: Member; step: string }, cause: unknown): PeerFailure {
  const message = `Calling ${to.id} at ${to.address} to ${step}: ${String(cause)}`;
  return Object.assign(new Error(message, { cause }), { step, peer: to.id });
}
