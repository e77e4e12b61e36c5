/**
 * TCP proxy that injects network faults between two processes.
 *
 * @module
 */
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { splitAddress } from "../../src/connection/http_listener.ts";
import { reserveLoopbackAddress } from "../../src/connection/testing/loopback_address.ts";

/** Condition of a link: how it treats the bytes and connections that pass through it. */
export enum LinkCondition {
  /** Bytes are forwarded at once. */
  Normal = "well",
  /** Bytes are forwarded after a delay. */
  Slow = "slow",
  /** Connections stay open, but no bytes are forwarded in either direction. */
  Silent = "silent",
  /** Bytes from clients are forwarded, bytes from the target are dropped. */
  AnswersLost = "answers-lost",
  /** Open and new connections are reset. */
  Resetting = "resetting",
}

/** Proxy in front of one address. */
export interface LinkProxy {
  /** `IP:PORT` at which the proxy listens. */
  readonly address: string;
  /** Sets the condition for new bytes. A connection that has dropped bytes forwards no more in that direction. */
  setCondition(condition: LinkCondition): void;
  /** Closes the listener and all connections. */
  close(): Promise<void>;
}

/** Delay of a slow link, in milliseconds. */
const SLOW_LINK_DELAY = 250;

/** Opens a proxy in front of the address `IP:PORT`. */
export async function openLinkProxy(target: string): Promise<LinkProxy> {
  let condition = LinkCondition.Normal;
  const sockets = new Set<Socket>();
  const broken = new Set<Socket>();

  const track = (socket: Socket): void => {
    sockets.add(socket);
    socket.on("close", () => void sockets.delete(socket));
    // Either end may fail at any time: the proxy exists to inject faults.
    socket.on("error", () => socket.destroy());
  };
  const forward = (from: Socket, to: Socket, isAnswer: boolean): void => {
    from.on("data", (chunk) => {
      if (isLost(from, to, isAnswer)) return;
      if (condition === LinkCondition.Slow) setTimeout(() => to.write(chunk), SLOW_LINK_DELAY);
      else to.write(chunk);
    });
  };
  /** Dropped bytes leave a gap in the stream, so nothing more is forwarded in that direction of the connection. */
  const isLost = (from: Socket, to: Socket, isAnswer: boolean): boolean => {
    const isDropped =
      condition === LinkCondition.Silent || (condition === LinkCondition.AnswersLost && isAnswer);
    if (isDropped) broken.add(from);
    return broken.has(from) || to.destroyed;
  };
  const server = createServer({ allowHalfOpen: true }, (clientSocket) => {
    track(clientSocket);
    if (condition === LinkCondition.Resetting) {
      clientSocket.resetAndDestroy();
      return;
    }
    const [host, port] = splitAddress(target);
    const targetSocket = connect({ host, port, allowHalfOpen: true });
    track(targetSocket);
    targetSocket.on("end", () => void followEnd(clientSocket, targetSocket));
    targetSocket.on("close", () => void followEnd(clientSocket, targetSocket));
    clientSocket.on("end", () => {
      if (!broken.has(clientSocket)) afterWrites(() => targetSocket.end());
    });
    clientSocket.on("close", () => {
      if (!broken.has(clientSocket)) targetSocket.destroySoon();
    });
    forward(clientSocket, targetSocket, false);
    forward(targetSocket, clientSocket, true);
  });
  /** A target that has ended refuses connections. The proxy does so too, before a client can observe the break. */
  const followEnd = async (clientSocket: Socket, targetSocket: Socket): Promise<void> => {
    if (broken.has(targetSocket) || clientSocket.destroyed) return;
    if (await isListeningAt(target)) {
      afterWrites(() => clientSocket.destroySoon());
      return;
    }
    server.close();
    clientSocket.resetAndDestroy();
  };
  /** Runs a callback after the bytes that were received before. */
  const afterWrites = (callback: () => void): void => {
    if (condition === LinkCondition.Slow) setTimeout(callback, SLOW_LINK_DELAY);
    else callback();
  };
  const address = reserveLoopbackAddress();
  const [host, port] = splitAddress(address);
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  return {
    address,
    setCondition: (next) => {
      condition = next;
      if (next === LinkCondition.Resetting) for (const socket of sockets) socket.resetAndDestroy();
    },
    close: async () => {
      const isOpen = server.listening;
      const closed = new Promise((resolve) => server.close(resolve));
      for (const socket of sockets) socket.destroy();
      if (isOpen) await closed;
    },
  };
}

/** Returns whether a server listens at the address. */
function isListeningAt(target: string): Promise<boolean> {
  const [host, port] = splitAddress(target);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (isListening: boolean): void => {
      socket.destroy();
      resolve(isListening);
    };
    socket.on("connect", () => end(true));
    socket.on("error", () => end(false));
  });
}
