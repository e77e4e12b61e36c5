import type { Client } from "@connectrpc/connect";
import type { Peer } from "../gen/peer_pb.ts";
import { withTimeout } from "../interface/index.ts";
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
const MAX_RECONNECTS = 1;

/** Interval of the liveness check on a connection with open relays, in milliseconds. */
const CHECK_INTERVAL = 1_000;
/** A key without an object. The liveness check pulls it; the peer replies at once that there is none. */
const CHECK_KEY = "";

/** The connection to one peer and the calls that are open on it. */
interface PeerConnection {
  readonly channel: PeerChannel;
  /** The stream of replications; undefined until it is opened on the current connection. */
  replicateStream: ReplicateStream | undefined;
  /** Incremented with each new connection. */
  generation: number;
  /** Abort controllers of the open relays; all are aborted if the connection is silent. */
  readonly relays: Set<AbortController>;
  /** When anything last arrived on the current connection, in the clock's milliseconds. */
  lastDeliveryAt: number;
  /** Whether a liveness check is scheduled or in progress. */
  hasCheck: boolean;
}

/** Options for creating the client for calls to peers. */
export interface PeerClientOptions {
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
export function createPeerClient({ self, clock, security }: PeerClientOptions): Peers {
  const connections = new Map<string, PeerConnection>();
  const connectionTo = (address: string): PeerConnection => {
    const existing = connections.get(address);
    if (existing !== undefined) return existing;
    const connection = {
      channel: createPeerChannel(address, security),
      replicateStream: undefined,
      generation: 0,
      relays: new Set<AbortController>(),
      lastDeliveryAt: Number.NEGATIVE_INFINITY,
      hasCheck: false,
    };
    connections.set(address, connection);
    return connection;
  };
  const noteDelivery = (connection: PeerConnection, generation: number): void => {
    if (connection.generation === generation) connection.lastDeliveryAt = clock.now();
  };
  /**
   * Waits for a reply. If something else has arrived on the connection meanwhile, the connection isn't
   * silent and the peer is only slow, so the reply gets the same time once more. To replace the
   * connection of a slow peer, and to repeat its calls and relays, would slow it down further.
   */
  const awaitReply = async <T>(
    connection: PeerConnection,
    reply: Promise<T>,
    step: string,
  ): Promise<T> => {
    const { generation } = connection;
    const sentAt = clock.now();
    const delivered = reply.then((value) => {
      noteDelivery(connection, generation);
      return value;
    });
    const wait = (): Promise<T> => withTimeout(clock, delivered, { limit: CALL_TIMEOUT, step });
    try {
      return await wait();
    } catch (cause) {
      if (connection.lastDeliveryAt <= sentAt) throw cause;
      return wait();
    }
  };
  const call = async <T>(
    target: { to: Member; step: string },
    run: (connection: PeerConnection) => Promise<T>,
  ): Promise<T> => {
    const connection = connectionTo(target.to.address);
    for (let retries = 0; ; retries++) {
      const { generation } = connection;
      try {
        return await awaitReply(connection, run(connection), target.step);
      } catch (cause) {
        if (retries >= MAX_RECONNECTS) throw createPeerFailure(target, cause);
        // Calls between instances are idempotent, so a call can be repeated on a new connection. Only
        // the first of the calls that failed on a connection replaces it; the others share the new one.
        if (connection.generation === generation) reconnect(connection);
      }
    }
  };
  const addRelay = (connection: PeerConnection, abortController: AbortController): void => {
    connection.relays.add(abortController);
    scheduleCheck(connection);
  };
  /** Schedules a check unless there is one. Each further one would abort all relays once more. */
  const scheduleCheck = (connection: PeerConnection): void => {
    if (connection.hasCheck || connection.relays.size === 0) return;
    connection.hasCheck = true;
    clock.after(CHECK_INTERVAL, () => void checkAndReschedule(connection));
  };
  const checkAndReschedule = async (connection: PeerConnection): Promise<void> => {
    await check(connection);
    connection.hasCheck = false;
    scheduleCheck(connection);
  };
  /**
   * Checks that the connection still works, once for all of its relays. A relay has no timeout, because
   * the next token may take long. Without the check, a caller whose tokens are relayed over a silent
   * connection would wait until its deadline.
   */
  const check = async (connection: PeerConnection): Promise<void> => {
    const { generation } = connection;
    const relays = [...connection.relays];
    if (relays.length === 0) return;
    try {
      const reply = connection.channel.client().pull({ from: self, key: CHECK_KEY });
      await awaitReply(connection, reply, "check the connection");
    } catch (cause) {
      for (const abortController of relays) abortController.abort(cause);
      for (const abortController of relays) connection.relays.delete(abortController);
      if (connection.generation === generation) reconnect(connection);
    }
  };
  const unary = <T>(
    target: { to: Member; step: string },
    run: (client: Client<typeof Peer>) => Promise<T>,
  ): Promise<T> => call(target, (connection) => run(connection.channel.client()));

  return {
    replicate: (to, message) =>
      call({ to, step: "replicate" }, (connection) => replicateStreamOf(connection).send(message)),
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
      const connection = connectionTo(to.address);
      const { generation } = connection;
      const abortController = new AbortController();
      addRelay(connection, abortController);
      try {
        const client = connection.channel.client();
        const relaySignal = AbortSignal.any([signal, abortController.signal]);
        for await (const event of client.relay(encodeRelay(message), { signal: relaySignal })) {
          noteDelivery(connection, generation);
          yield decodeRelayEvent(event);
        }
      } catch (cause) {
        throw createPeerFailure({ to, step: "relay" }, cause);
      } finally {
        connection.relays.delete(abortController);
      }
    },
    close: () => {
      for (const connection of connections.values()) {
        connection.replicateStream?.close();
        connection.channel.close();
      }
    },
  };
}

function replicateStreamOf(connection: PeerConnection): ReplicateStream {
  if (connection.replicateStream !== undefined && !connection.replicateStream.hasFailed())
    return connection.replicateStream;
  const client = connection.channel.client();
  const stream = openReplicateStream((messages, signal) => client.replicate(messages, { signal }));
  connection.replicateStream = stream;
  return stream;
}

function reconnect(connection: PeerConnection): void {
  connection.generation++;
  connection.lastDeliveryAt = Number.NEGATIVE_INFINITY;
  connection.replicateStream?.close();
  connection.replicateStream = undefined;
  connection.channel.reconnect();
}

function createPeerFailure(
  { to, step }: { to: Member; step: string },
  cause: unknown,
): PeerFailure {
  const message = `Calling ${to.id} at ${to.address} failed in the ${step} call: ${String(cause)}`;
  return Object.assign(new Error(message, { cause }), { step, peer: to.id });
}
