import { createServer } from "node:http2";
import type { AddressInfo } from "node:net";
import { Http2SessionManager } from "@connectrpc/connect-node";
import { expect, test } from "vitest";
import { addErrorListeners } from "./session_error_listener.ts";

// A peer stops while this instance closes its connection to it. The session then emits its error after the
// manager has removed its listener, and the unhandled error would end the process.
test("a session destroyed while its manager is aborted causes no uncaught error", async () => {
  const uncaught: unknown[] = [];
  const record = (error: unknown): void => void uncaught.push(error);
  const server = createServer();
  server.on("stream", (stream) => {
    stream.respond({ ":status": 200 });
    stream.end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const manager = new Http2SessionManager(`http://127.0.0.1:${port}`);
  const stream = await addErrorListeners(manager).request("GET", "/", {}, {});
  const { session } = stream;
  stream.resume();
  await new Promise((resolve) => stream.once("close", resolve));
  process.on("uncaughtException", record);
  session?.destroy(new Error("The peer has stopped."));
  manager.abort(new Error("The connection was closed."));
  await new Promise((resolve) => setTimeout(resolve, 50));
  process.off("uncaughtException", record);
  server.close();
  expect(uncaught).toEqual([]);
});
