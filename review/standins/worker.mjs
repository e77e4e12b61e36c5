/**
 * A stand-in of a worker of the users' platform, inside the process of a case: it reports on itself, checks the id that a
 * request expects, and streams numbered events that name its software version, or answers with one body.
 *
 * @module
 */
import { createServer } from "node:http";
import { HOST } from "./instances.mjs";

/**
 * Starts a worker.
 *
 * @param options `onRun` is called when a request begins to run. `events` and `interval` give the number of events of a
 * stream and the milliseconds between two of them.
 */
export async function startWorker({
  id,
  service,
  version = "v1",
  host = HOST,
  port = 0,
  zone = "zone-a",
  slots = 64,
  events = 40,
  interval = 250,
  born = Date.now(),
  onRun = () => undefined,
  answer,
}) {
  const stream = (request, response, headers) => {
    const from = Number(request.headers["last-event-id"] ?? 0);
    response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
    let number = from;
    const next = () => {
      if (response.destroyed) return;
      number++;
      response.write(`id: ${number}\ndata: ${version} ${number}\n\n`);
      if (number >= events) response.end();
      else setTimeout(next, interval);
    };
    next();
  };
  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      if (request.url === "/report") {
        response.setHeader("Content-Type", "application/json");
        response.end(JSON.stringify({ stage: "unified", busy: false, sequence: 1, born }));
        return;
      }
      const requestId = request.headers["x-request-id"] ?? "";
      const echoed = { "X-Request-Id": requestId };
      if (request.headers["x-expect-instance"] !== id) {
        response.writeHead(421, { ...echoed, "X-Not-Executed": "1" }).end();
        return;
      }
      const run = {
        at: Date.now(),
        id: requestId,
        worker: id,
        version,
        method: request.method,
        target: request.url,
        from: request.headers["last-event-id"],
        headers: request.headers,
        body: Buffer.concat(chunks),
      };
      onRun(run);
      const headers = { ...echoed, "X-Response-Signature": `${id}.${requestId}` };
      if (answer !== undefined) answer(run, { request, response, headers });
      else stream(request, response, headers);
    });
  });
  server.keepAliveTimeout = 10_000;
  await new Promise((resolve) => server.listen(port, host, resolve));
  return {
    id,
    version,
    address: `${host}:${server.address().port}`,
    server,
    /** The worker's entry in the store. */
    entry: (changed = {}) => ({
      service,
      address: `${host}:${server.address().port}`,
      zone,
      version,
      slots,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: 1,
      born,
      ...changed,
    }),
    /** The process ends: its connections break. */
    exit: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
