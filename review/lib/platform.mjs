/**
 * Stand-in of the platform: the object store and the API for duties, on one listener.
 *
 * It implements the calls of the platform's pages that an entry instance makes: list, watch, get, create, replace and
 * delete objects, `POST /usage` and `POST /scale`.
 */
import { createServer } from "node:http";

const WATCH_POLL_MS = 5;

/** Starts the platform at `HOST:PORT`. */
export async function startPlatform(host, port) {
  const kinds = new Map();
  const events = [];
  let revision = 1;
  const calls = [];

  const objectsOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const wire = ({ name, rev, spec, status, created }) => ({
    metadata: { name, revision: rev, create_rev: created, finalizers: [], deleting: false },
    spec,
    status,
  });
  const write = (kind, name, spec, status) => {
    revision += 1;
    const created = objectsOf(kind).get(name)?.created ?? revision;
    const entry = { name, rev: revision, spec, status, created };
    objectsOf(kind).set(name, entry);
    events.push({ kind, rev: revision, entry, tombstone: false });
    return entry;
  };
  const remove = (kind, name) => {
    const entry = objectsOf(kind).get(name);
    if (entry === undefined) return false;
    objectsOf(kind).delete(name);
    revision += 1;
    events.push({ kind, rev: revision, entry: { ...entry, rev: revision }, tombstone: true });
    return true;
  };
  const send = (response, status, body) => {
    if (response.destroyed) return;
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(text),
    });
    response.end(text);
  };
  const watch = (response, { kind, after, until }) => {
    if (response.destroyed) return;
    const found = events.filter((event) => event.kind === kind && event.rev > after);
    if (found.length === 0 && Date.now() < until) {
      setTimeout(() => watch(response, { kind, after, until }), WATCH_POLL_MS);
      return;
    }
    send(response, 200, {
      events: found.map(({ entry, tombstone }) => ({ object: wire(entry), tombstone })),
      current_rev: revision,
    });
  };
  const handle = (request, response, body) => {
    const url = new URL(request.url, "http://platform");
    if (request.method === "POST" && (url.pathname === "/usage" || url.pathname === "/scale")) {
      calls.push({ at: Date.now(), path: url.pathname, headers: request.headers, body });
      send(response, 200, {});
      return;
    }
    const [, objects, kind, name, part] = url.pathname.split("/").map(decodeURIComponent);
    if (objects !== "objects") {
      send(response, 404, {});
      return;
    }
    if (request.method === "GET" && name === undefined) {
      const after = url.searchParams.get("watch");
      if (after === null) {
        const items = [...objectsOf(kind).values()].map(wire);
        send(response, 200, { items, truncated: false, current_rev: revision });
        return;
      }
      const until = Date.now() + Number(url.searchParams.get("wait_ms") ?? 0);
      watch(response, { kind, after: Number(after), until });
      return;
    }
    const existing = objectsOf(kind).get(name ?? body?.metadata?.name);
    if (request.method === "GET") {
      if (existing === undefined) send(response, 404, {});
      else send(response, 200, wire(existing));
    } else if (request.method === "POST") {
      if (existing !== undefined) send(response, 409, wire(existing));
      else send(response, 200, wire(write(kind, body.metadata.name, body.spec, null)));
    } else if (request.method === "PUT") {
      if (existing === undefined) send(response, 404, {});
      else if (body.metadata.revision !== undefined && body.metadata.revision !== existing.rev)
        send(response, 409, wire(existing));
      else {
        const spec = part === "status" ? existing.spec : body.spec;
        const status = part === "status" ? body.status : existing.status;
        const isSame =
          JSON.stringify([spec, status]) === JSON.stringify([existing.spec, existing.status]);
        send(response, 200, wire(isSame ? existing : write(kind, name, spec, status)));
      }
    } else if (request.method === "DELETE") {
      send(response, remove(kind, name) ? 200 : 404, {});
    } else send(response, 404, {});
  };
  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const text = Buffer.concat(chunks).toString();
      handle(request, response, text === "" ? undefined : JSON.parse(text));
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  return {
    address: `${host}:${port}`,
    /** The duty calls received, in order. */
    calls,
    put: (kind, name, spec) => write(kind, name, spec, objectsOf(kind).get(name)?.status ?? null),
    remove,
    close: () =>
      new Promise((resolve) => {
        server.close(resolve);
        server.closeAllConnections();
      }),
  };
}
