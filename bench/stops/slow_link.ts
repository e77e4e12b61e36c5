/**
 * A TCP proxy that stands for a link with a limited rate and a delay.
 *
 * It reads from the instance only as fast as the link carries, so that what is written beyond that waits in the buffers of
 * the instance's system. A reset takes effect once what was on the way has arrived.
 *
 * @module
 */
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { splitAddress } from "../../src/connection/http_listener.ts";
import { reserveLoopbackAddress } from "../../src/connection/testing/loopback_address.ts";

/** Properties of a link. */
export interface LinkSettings {
  /** Bytes per second in each direction. */
  readonly rate: number;
  /** Milliseconds that bytes are on the way. */
  readonly delay: number;
}

/** A proxy in front of an instance. */
export interface SlowLink {
  /** `IP:PORT` that callers connect to. */
  readonly address: string;
  close(): Promise<void>;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Starts a link to an address. */
export async function startSlowLink(target: string, settings: LinkSettings): Promise<SlowLink> {
  const [targetHost, targetPort] = splitAddress(target);
  const sockets = new Set<Socket>();
  const server = createServer({ allowHalfOpen: true }, (near) => {
    const far = connect({ host: targetHost, port: targetPort, allowHalfOpen: true });
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.once("close", () => sockets.delete(socket));
    }
    carry({ from: near, to: far }, settings);
    carry({ from: far, to: near }, settings);
  });
  const address = reserveLoopbackAddress();
  const [host, port] = splitAddress(address);
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  return {
    address,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}

/** Carries bytes, the end and a reset of a connection in one direction. */
function carry(
  { from, to }: { readonly from: Socket; readonly to: Socket },
  { rate, delay }: LinkSettings,
): void {
  /** Time at which the last byte on the way arrives. */
  let arrivesAt = 0;
  /** What takes effect at the far end, in order. Timers alone may expire in another order within a millisecond. */
  const arriving: (() => void)[] = [];
  const afterDelay = (action: () => void): void => {
    arriving.push(action);
    setTimeout(() => arriving.shift()?.(), Math.max(arrivesAt - performance.now(), delay));
  };
  from.on("data", (bytes) => {
    const busyFor = (bytes.length / rate) * MILLISECONDS_PER_SECOND;
    arrivesAt = Math.max(arrivesAt, performance.now() + busyFor + delay);
    from.pause();
    setTimeout(() => from.resume(), busyFor);
    afterDelay(() => {
      if (!to.destroyed) to.write(bytes);
    });
  });
  from.on("end", () => afterDelay(() => to.end()));
  from.on("error", () => afterDelay(() => to.resetAndDestroy()));
}
