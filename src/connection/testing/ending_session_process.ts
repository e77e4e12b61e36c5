/**
 * A process that ends an HTTP/2 session while its streams end, and then exits with 0.
 *
 * Half of the streams are closed before their last data is sent, the other half are open.
 *
 * @module
 */
import { connect, createServer } from "node:http2";
import type { ServerHttp2Stream } from "node:http2";
import type { AddressInfo, Socket } from "node:net";
import { createSocketSet } from "../socket_set.ts";

const STREAM_COUNT = 6;
const DATA_BYTES = 200_000;

const sockets = createSocketSet();
const streams: ServerHttp2Stream[] = [];
const server = createServer();
server.on("connection", (socket: Socket) => sockets.add(socket));
server.on("stream", (stream) => {
  stream.on("error", () => undefined);
  stream.respond();
  if (streams.push(stream) === STREAM_COUNT) endAll();
});

function endAll(): void {
  for (const [index, stream] of streams.entries()) {
    if (index % 2 === 1) continue;
    stream.end(Buffer.alloc(DATA_BYTES));
    stream.close();
  }
  sockets.destroyAll();
  server.close(() => process.exit(0));
}

server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  const session = connect(`http://127.0.0.1:${port}`);
  session.on("error", () => undefined);
  for (let count = 0; count < STREAM_COUNT; count++) {
    const request = session.request({ ":method": "POST" });
    request.on("error", () => undefined);
    request.resume();
    request.write("x");
  }
});
