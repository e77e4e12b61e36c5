import type { ReplicateReply, ReplicateRequest } from "../gen/peer_pb.ts";
import type { ReplicateMessage, SlotReply } from "../interface/index.ts";
import { decodeSlotReply, encodeReplicate } from "./peer_codec.ts";

/** The one stream that carries all replications to a peer, with answers found by number. */
export interface ReplicateStream {
  /** Rejects when the stream breaks before the answer has come. */
  send(message: ReplicateMessage): Promise<SlotReply>;
  /** True once the stream has broken: it answers nothing any more. */
  isBroken(): boolean;
  close(): void;
}

interface Waiting {
  readonly resolve: (reply: SlotReply) => void;
  readonly reject: (cause: Error) => void;
}

/**
 * Opens the stream.
 *
 * @param open Opens the call: it is given the messages to send and yields the answers.
 */
export function openReplicateStream(
  open: (
    messages: AsyncIterable<ReplicateRequest>,
    signal: AbortSignal,
  ) => AsyncIterable<ReplicateReply>,
): ReplicateStream {
  const waiting = new Map<bigint, Waiting>();
  const outgoing = createOutbox<ReplicateRequest>();
  const ending = new AbortController();
  let correlation = 0n;
  let broken = false;

  const fail = (cause: Error): void => {
    broken = true;
    outgoing.close();
    ending.abort(cause);
    for (const { reject } of waiting.values()) reject(cause);
    waiting.clear();
  };
  const receive = async (): Promise<void> => {
    try {
      for await (const reply of open(outgoing, ending.signal)) {
        const waiter = waiting.get(reply.correlation);
        waiting.delete(reply.correlation);
        waiter?.resolve(decodeSlotReply(reply));
      }
      fail(new Error("The peer ended the stream of replications."));
    } catch (cause) {
      fail(cause instanceof Error ? cause : new Error(String(cause)));
    }
  };
  void receive();
  return {
    send: (message) =>
      new Promise((resolve, reject) => {
        if (broken) {
          reject(new Error("The stream of replications has broken."));
          return;
        }
        correlation++;
        waiting.set(correlation, { resolve, reject });
        outgoing.push(encodeReplicate(message, correlation));
      }),
    isBroken: () => broken,
    close: () => fail(new Error("The stream of replications was closed.")),
  };
}

interface Outbox<T> extends AsyncIterable<T> {
  push(item: T): void;
  close(): void;
}

/** A queue that one reader empties as it can. */
function createOutbox<T>(): Outbox<T> {
  const items: T[] = [];
  let wake: (() => void) | undefined;
  const state = { closed: false };
  const isClosed = (): boolean => state.closed;
  return {
    push: (item) => {
      items.push(item);
      wake?.();
    },
    close: () => {
      state.closed = true;
      wake?.();
    },
    [Symbol.asyncIterator]: async function* () {
      while (!isClosed()) {
        const batch = items.splice(0);
        yield* batch;
        if (batch.length > 0 || isClosed()) continue;
        await new Promise<void>((resolve) => {
          wake = resolve;
        });
      }
    },
  };
}
