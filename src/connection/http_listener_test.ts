import { connect } from "node:net";
import { Agent, request } from "undici";
import { expect, test } from "vitest";
import { listenHttp, splitAddress } from "./http_listener.ts";
import { LOOPBACK_TLS } from "./testing/loopback_tls.ts";

// Guards against a TLS listener that also accepts plain connections.
test("a listener with a certificate accepts only TLS, from clients that trust it", async () => {
  const listener = await listenHttp("127.0.0.1:0", (_request, response) => response.end("yes"), {
    tls: LOOPBACK_TLS,
  });
  const dispatcher = new Agent({ connect: { ca: LOOPBACK_TLS.certificate } });
  const response = await request(`https://${listener.address}/`, { dispatcher });
  expect(await response.body.text()).toBe("yes");
  await expect(request(`http://${listener.address}/`)).rejects.toThrow();
  await expect(request(`https://${listener.address}/`)).rejects.toThrow(/certificate/);
  await dispatcher.close();
  await listener.close();
});

test("headers over the size limit are rejected", async () => {
  // Guards against a few clients that send endless headers and exhaust the memory of an entry instance.
  const listener = await listenHttp("127.0.0.1:0", (_request, response) => response.end());
  const [host, port] = splitAddress(listener.address);
  const socket = connect({ host, port });
  socket.write(`GET / HTTP/1.1\r\nhost: x\r\nbig: ${"x".repeat(20_000)}\r\n\r\n`);
  const response = await new Promise<string>((resolve) => {
    socket.once("data", (data) => resolve(String(data)));
  });
  expect(response).toMatch(/^HTTP\/1.1 431 /);
  socket.destroy();
  await listener.close();
});
