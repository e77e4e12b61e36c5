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

/** Timeout of a call, in milliseconds, after which it is retried on a new connection. */
const CALL_TIMEOUT = 500;
/** Maximum retries on a new connection: a middlebox may have dropped the state of the old one. */
const RENEWALS = 1;

/** Interval of the liveness check on a connection with open relays, in milliseconds. */
const CHECK_PERIOD = 1_000;
/** Key that names no object; the liveness check pulls it, and a peer replies at once without one. */
const NO_OBJECT = "";

/** The connection to one peer and the calls that are open on it. */
interface Link {
  readonly channel: PeerChannel;
  /** The stream of replications; undefined until it is opened on the current connection. */
  replicate: ReplicateStream | undefined;
  /** Incremented with each new connection. */
  generation: number;
  /** Abort controllers of the open relays; all are aborted if the connection is silent. */
  readonly relays: Set<AbortController>;
}

/** Options of {@linkcode createConnectPeers}. */
export interface ConnectPeersOptions {
  /** Member id of this instance. */
  readonly self: string;
  readonly clock: Clock;
  readonly security: PeerSecurity;
}

/**
 * Creates the client for calls to other entry instances, using the Connect protocol over one HTTP/2
 * connection per peer.
 *
 * A unary call or replication that fails or times out is retried once on a new connection, then rejects
 * with a {@linkcode PeerFailure}. A relay isn't retried.
 */
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
        // Calls between instances are idempotent, so a call can be repeated on a new connection. Only
        // the first of the calls that failed on a connection replaces it; the others share the new one.
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
   * Checks that the connection still works, once for all of its relays. A relay has no timeout, because
   * the next token may take long. Without the check, a caller whose tokens are relayed over a silent
   * connection would wait until its deadline.
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
      reject(new Error(`No response within ${CALL_TIMEOUT} ms.`));
    });
    answer.then(resolve, reject).finally(() => timer.close());
  });
}

function peerFailure({ to, step }: { to: Member; step: string }, cause: unknown): PeerFailure {
  const message = `Calling ${to.id} at ${to.address} failed in the ${step} call: ${String(cause)}`;
  return Object.assign(new Error(message, { cause }), { step, peer: to.id });
}
