import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { splitAddress } from "../../src/connection/http_listener.ts";
import { takeLoopbackAddress } from "../../src/connection/testing/loopback_address.ts";

/** What a link does with what passes. */
export enum LinkMood {
  Well = "well",
  /** What arrives is passed on later. */
  Slow = "slow",
  /** Connections stay open, and nothing passes in either direction any more. */
  Silent = "silent",
  /** What callers send passes, and no answer does. */
  AnswersLost = "answers-lost",
  /** Connections are reset, open ones and new ones. */
  Resetting = "resetting",
}

/** A link to one address, with faults. */
export interface LinkProxy {
  /** `IP:PORT` of the link's near end. */
  readonly address: string;
  /** Changes the mood for new bytes; a connection that has gone silent or lost bytes never comes back. */
  setMood(mood: LinkMood): void;
  close(): Promise<void>;
}

/** Milliseconds by which a slow link holds bytes back. */
const SLOWNESS = 250;

/** Opens a link to the address. */
export async function openLink(target: string): Promise<LinkProxy> {
  let mood = LinkMood.Well;
  const sockets = new Set<Socket>();
  const spoiled = new Set<Socket>();

  const keep = (socket: Socket): void => {
    sockets.add(socket);
    socket.on("close", () => void sockets.delete(socket));
    // Either end may break at any time: that is what links are for here.
    socket.on("error", () => socket.destroy());
  };
  const pass = (from: Socket, to: Socket, isAnswer: boolean): void => {
    from.on("data", (chunk) => {
      if (isLost(from, to, isAnswer)) return;
      if (mood === LinkMood.Slow) setTimeout(() => to.write(chunk), SLOWNESS);
      else to.write(chunk);
    });
  };
  /** Bytes that are lost leave a gap, so nothing passes on that connection afterwards. */
  const isLost = (from: Socket, to: Socket, isAnswer: boolean): boolean => {
    const loses = mood === LinkMood.Silent || (mood === LinkMood.AnswersLost && isAnswer);
    if (loses) spoiled.add(from);
    return spoiled.has(from) || to.destroyed;
  };
  const server = createServer({ allowHalfOpen: true }, (near) => {
    keep(near);
    if (mood === LinkMood.Resetting) {
      near.resetAndDestroy();
      return;
    }
    const [host, port] = splitAddress(target);
    const far = connect({ host, port, allowHalfOpen: true });
    keep(far);
    far.on("end", () => void followEnd(near, far));
    far.on("close", () => void followEnd(near, far));
    near.on("end", () => {
      if (!spoiled.has(near)) afterWrites(() => far.end());
    });
    near.on("close", () => {
      if (!spoiled.has(near)) far.destroySoon();
    });
    pass(near, far, false);
    pass(far, near, true);
  });
  /** A target that has ended refuses connections: so does the link, before anybody sees that one has broken. */
  const followEnd = async (near: Socket, far: Socket): Promise<void> => {
    if (spoiled.has(far) || near.destroyed) return;
    if (await listens(target)) {
      afterWrites(() => near.destroySoon());
      return;
    }
    server.close();
    near.resetAndDestroy();
  };
  /** What was passed on before goes first. */
  const afterWrites = (act: () => void): void => {
    if (mood === LinkMood.Slow) setTimeout(act, SLOWNESS);
    else act();
  };
  const address = takeLoopbackAddress();
  const [host, port] = splitAddress(address);
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  return {
    address,
    setMood: (next) => {
      mood = next;
      if (next === LinkMood.Resetting) for (const socket of sockets) socket.resetAndDestroy();
    },
    close: async () => {
      const isOpen = server.listening;
      const closed = new Promise((resolve) => server.close(resolve));
      for (const socket of sockets) socket.destroy();
      if (isOpen) await closed;
    },
  };
}

/** Whether anything listens at the address. */
function listens(target: string): Promise<boolean> {
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
