import { expect, test } from "vitest";
import { openDatagramSocket } from "./datagram_socket.ts";
import { reserveLoopbackAddress } from "./testing/loopback_address.ts";

// Guards against a process that ends with an uncaught error, because a timer sends after the socket was closed.
test("a datagram that is sent after the close is dropped", async () => {
  const errors: string[] = [];
  const onError = (detail: string): void => void errors.push(detail);
  const address = reserveLoopbackAddress();
  const socket = await openDatagramSocket({ address, onMessage: () => undefined, onError });
  socket.close();
  expect(() => socket.send(Buffer.of(1), address)).not.toThrow();
  expect(errors).toEqual([]);
});
