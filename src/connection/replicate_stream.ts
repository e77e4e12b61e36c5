import type { ReplicateReply, ReplicateRequest } from "../gen/peer_pb.ts";
import type { ReplicateMessage, SlotReply } from "../interface/index.ts";
import { decodeSlotReply, encodeReplicate } from "./peer_codec.ts";

/** The stream that carries all replications to a peer. Replies are matched by correlation number. */
export interface ReplicateStream {
  /** Sends a replication and resolves with its reply. Rejects if the stream fails before the reply arrives. */
  send(message: ReplicateMessage): Promise<SlotReply>;
  /** Returns true once the stream has failed or was closed; `send` then rejects. */
  hasFailed(): boolean;
  /** Ends the stream and rejects all pending replies. */
  close(): void;
}

/** A replication whose reply is pending. */
interface PendingReply {
  readonly resolve: (reply: SlotReply) => void;
  readonly reject: (cause: Error) => void;
}

/**
 * Opens a replication stream.
 *
 * @param open Starts the call with the messages to send and a signal that ends it; yields the replies.
 */
export function openReplicateStream(
  open: (
    messages: AsyncIterable<ReplicateRequest>,
    signal: AbortSignal,
  ) => AsyncIterable<ReplicateReply>,
): ReplicateStream {
  const pending = new Map<bigint, PendingReply>();
  const outgoing = createMessageQueue<ReplicateRequest>();
  const abortController = new AbortController();
  let correlation = 0n;
  let isBroken = false;

  const fail = (cause: Error): void => {
    isBroken = true;
    outgoing.close();
    abortController.abort(cause);
    for (const { reject } of pending.values()) reject(cause);
    pending.clear();
  };
  const receive = async (): Promise<void> => {
    try {
      for await (const reply of open(outgoing, abortController.signal)) {
        const pendingReply = pending.get(reply.correlation);
        pending.delete(reply.correlation);
        pendingReply?.resolve(decodeSlotReply(reply));
      }
      fail(new Error("The peer ended the replication stream."));
    } catch (cause) {
      fail(cause instanceof Error ? cause : new Error(String(cause)));
    }
  };
  void receive();
  return {
    send: (message) =>
      new Promise((resolve, reject) => {
        if (isBroken) {
          reject(new Error("The replication stream has failed."));
          return;
        }
        correlation++;
        pending.set(correlation, { resolve, reject });
        outgoing.push(encodeReplicate(message, correlation));
      }),
    hasFailed: () => isBroken,
    close: () => fail(new Error("The replication stream was closed.")),
  };
}

/** A queue of outgoing messages. */
interface MessageQueue<T> extends AsyncIterable<T> {
  push(item: T): void;
  close(): void;
}

/** Creates an unbounded queue for one reader, which reads in batches until the queue is closed. */
function createMessageQueue<T>(): MessageQueue<T> {
  const items: T[] = [];
  let wakeReader: (() => void) | undefined;
  const state = { closed: false };
  const isClosed = (): boolean => state.closed;
  return {
    push: (item) => {
      items.push(item);
      wakeReader?.();
    },
    close: () => {
      state.closed = true;
      wakeReader?.();
    },
    [Symbol.asyncIterator]: async function* () {
      while (!isClosed()) {
        const batch = items.splice(0);
        yield* batch;
        if (batch.length > 0 || isClosed()) continue;
        await new Promise<void>((resolve) => {
          wakeReader = resolve;
        });
      }
    },
  };
}
