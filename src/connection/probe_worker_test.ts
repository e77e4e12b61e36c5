import { createServer } from "node:net";
import { expect, test } from "vitest";
import { ConnectResult } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { isConnectionRefused, probeWorker } from "./probe_worker.ts";
import { reserveLoopbackAddress } from "./testing/loopback_address.ts";

// Guards against keeping a worker whose process has ended, and against dropping one that still listens.
test("a listening process is accepted and an ended one is refused", async () => {
  const server = createServer((socket) => socket.destroy());
  const address = reserveLoopbackAddress();
  const [host, port] = address.split(":");
  await new Promise<void>((resolve) => server.listen(Number(port), host, resolve));
  const clock = createVirtualClock();
  expect(await probeWorker(address, clock)).toBe(ConnectResult.Accepted);
  await new Promise((resolve) => server.close(resolve));
  expect(await probeWorker(address, clock)).toBe(ConnectResult.Refused);
});

// Guards against taking a reset for proof that no process listens: the worker may still be running.
test("a connection reset does not count as a refusal", () => {
  expect(isConnectionRefused(Object.assign(new Error("reset"), { code: "ECONNRESET" }))).toBe(
    false,
  );
  expect(isConnectionRefused(Object.assign(new Error("refused"), { code: "ECONNREFUSED" }))).toBe(
    true,
  );
});
