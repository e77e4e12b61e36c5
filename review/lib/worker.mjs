/**
 * Stand-in of a worker, as a process of its own. Its settings are the first argument, as JSON; it takes commands and
 * sends its record over the channel of its parent process.
 *
 * A stream of `/stream/EVENTS/INTERVAL/...` or `/long/...` has that number of events, one each INTERVAL ms. Any other path
 * gets a short answer. Both are the same at every worker, so that a test knows the whole body.
 *
 * Commands:
 * - `cut`: process ids of instances whose connections are reset, as by a partition between them and this worker.
 * - `silentUntil`: Unix milliseconds until which the worker sends nothing.
 * - `trouble`: `"long-errors"`: of the requests that begin from now on, the part `share` gets status 500 with a long body;
 *   `"endless"`: every response that begins from now on is bytes without end, until the caller closes.
 * - `instances`: process ids of the instances, for the rate at which it sends bytes without end to each.
 */
import { createServer } from "node:http";
import { ownerOf } from "./connection_owner.mjs";
import { eventText, wholeAnswer } from "./answers.mjs";

const settings = JSON.parse(process.argv[2]);
const { id, host, port, isFramed = true, startedAt, errorBytes = 3_000_000 } = settings;
/** Bytes per second without end that this worker sends to one instance; the link of an instance has 125,000,000. */
const { endlessBytesPerSecond = 95_000_000 } = settings;
/** Size of one write of them, small beside what one connection gets in one tick. */
const ENDLESS_PIECE = Buffer.alloc(16_384, "x");
const ENDLESS_TICK = 10;
let state = { cut: [], silentUntil: 0, trouble: undefined, share: 1, instances: [] };
const owners = new Map();

const report = (entry) =>
  process.connected && process.send({ worker: id, at: Date.now(), ...entry });
const isSilent = () => Date.now() < state.silentUntil;

const server = createServer((request, response) => {
  request.resume();
  request.on("end", () => serve(request, response));
});
server.keepAliveTimeout = 5_000;
server.on("connection", (socket) => {
  socket.on("error", () => undefined);
  if (ownerOf(socket, state.cut) !== undefined) {
    socket.resetAndDestroy();
    return;
  }
  const owner = ownerOf(socket, state.instances);
  owners.set(socket, owner);
  socket.on("close", () => owners.delete(socket));
});
process.on("message", (command) => {
  state = { ...state, ...command };
  if (command.cut === undefined) return;
  for (const [socket, owner] of owners) if (state.cut.includes(owner)) socket.resetAndDestroy();
});
process.on("disconnect", () => process.exit(0));
process.on("uncaughtException", (error) => {
  report({ kind: "fault", detail: String(error.stack) });
});
server.listen(port, host, () => report({ kind: "ready" }));

function serve(request, response) {
  const { headers, url, method, socket } = request;
  if (url === "/health") {
    response.writeHead(200, { "X-Instance-Id": id }).end();
    return;
  }
  if (state.trouble === "endless") {
    report({ kind: "trouble", url, request: headers["x-request-id"] });
    sendEndless(socket);
    return;
  }
  if (url === "/report") {
    response.setHeader("Content-Type", "application/json");
    response.end(JSON.stringify({ stage: "unified", models: [], busy: false, born: startedAt }));
    return;
  }
  const requestId = String(headers["x-request-id"]);
  const echoed = { "X-Request-Id": requestId };
  if (headers["x-expect-instance"] !== id) {
    report({ kind: "rejected", request: requestId, status: 421 });
    response.writeHead(421, { ...echoed, "X-Not-Executed": "1", "X-Instance-Id": id }).end();
    return;
  }
  const from = Number(headers["last-event-id"] ?? 0);
  report({ kind: "run", request: requestId, method, url, from });
  const signed = { ...echoed, "X-Response-Signature": `${id}.${requestId}` };
  if (state.trouble === "long-errors" && Math.random() < state.share) {
    report({ kind: "error", request: requestId, status: 500, bytes: errorBytes });
    response.writeHead(500, { ...signed, "Content-Type": "text/plain" });
    response.end(Buffer.alloc(errorBytes, "internal error in the worker; "));
    return;
  }
  if (!isFramed) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  const [, kind, events, interval] = url.split("/");
  if (kind !== "stream" && kind !== "long") {
    const body = wholeAnswer(url);
    if (isFramed) signed["Content-Length"] = body.length;
    response.writeHead(200, signed).end(body);
    report({ kind: "ended", request: requestId, bytes: body.length });
    return;
  }
  response.writeHead(200, { ...signed, "Content-Type": "text/event-stream" });
  let next = from + 1;
  const timer = setInterval(() => {
    if (isSilent()) return;
    if (next > Number(events)) {
      clearInterval(timer);
      response.end();
      report({ kind: "ended", request: requestId, last: next - 1 });
      return;
    }
    response.write(eventText(url, next));
    next += 1;
  }, Number(interval));
  response.on("close", () => {
    clearInterval(timer);
    if (!response.writableFinished) report({ kind: "dropped", request: requestId, last: next - 1 });
  });
}

/** Sends a head and a body without end until the caller closes the connection. */
function sendEndless(socket) {
  socket.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n");
  const owner = owners.get(socket);
  const tick = () => {
    if (socket.destroyed) return;
    const streams = [...owners].filter(
      ([other, pid]) => pid === owner && other.isEndless && !other.destroyed,
    ).length;
    const budget = ((endlessBytesPerSecond / Math.max(1, streams)) * ENDLESS_TICK) / 1_000;
    for (let sent = 0; sent < budget && socket.writableLength === 0; sent += ENDLESS_PIECE.length)
      socket.write(ENDLESS_PIECE);
  };
  socket.isEndless = true;
  const timer = setInterval(tick, ENDLESS_TICK);
  socket.on("close", () => clearInterval(timer));
}
