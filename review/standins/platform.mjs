/**
 * A stand-in of the platform: its metadata store (objects, conditional writes, watches, Store-Era) and the calls of the
 * lease holder (`/usage`, `/scale`), as the users' pages describe them. It runs inside the process of a case.
 *
 * @module
 */
import { createServer } from "node:http";
import { HOST } from "./instances.mjs";

const HISTORY_POLL = 5;

/** Starts the platform on a free port of `host`. */
export async function startPlatform({ host = HOST } = {}) {
  let kinds = new Map();
  let events = [];
  let revision = 100;
  let era = 0;
  /** Calls of lease holders, in the order of arrival. */
  const calls = [];
  /** Set by a case: how the calls of one caller are answered; undefined for normal. */
  const state = { behave: () => undefined };

  const objectsOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const write = (kind, name, { spec, status }) => {
    const entry = { name, revision: ++revision, spec, status };
    objectsOf(kind).set(name, entry);
    events.push({ kind, revision, entry, tombstone: false });
    return entry;
  };
  const drop = (kind, name) => {
    const entry = objectsOf(kind).get(name);
    if (entry === undefined) return;
    objectsOf(kind).delete(name);
    events.push({ kind, revision: ++revision, entry, tombstone: true });
  };
  const wire = ({ name, revision: of, spec, status }) => ({
    metadata: { name, revision: of, create_rev: 1, finalizers: [], deleting: false },
    spec,
    status,
  });
  const send = (response, status, body) => {
    if (response.destroyed) return;
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Store-Era": String(era),
    });
    response.end(JSON.stringify(body));
  };
  const watch = (response, { kind, after, until, startEra }) => {
    if (response.destroyed) return;
    if (startEra !== era) {
      response.destroy();
      return;
    }
    if (after > revision) {
      send(response, 410, {});
      return;
    }
    const found = events.filter((event) => event.kind === kind && event.revision > after);
    if (found.length === 0 && Date.now() < until) {
      setTimeout(() => watch(response, { kind, after, until, startEra }), HISTORY_POLL);
      return;
    }
    const changes = found.map(({ entry, tombstone, revision: at }) => ({
      object: { ...wire(entry), metadata: { ...wire(entry).metadata, revision: at } },
      tombstone,
    }));
    send(response, 200, { events: changes, current_rev: revision });
  };
  const handleObject = (request, response, { kind, name, part, query, body }) => {
    const objects = objectsOf(kind);
    if (request.method === "GET" && name === undefined && query.has("watch")) {
      const until = Date.now() + Number(query.get("wait_ms") ?? 0);
      watch(response, { kind, after: Number(query.get("watch")), until, startEra: era });
      return;
    }
    if (request.method === "GET" && name === undefined) {
      const items = [...objects.values()].map(wire);
      send(response, 200, { items, truncated: false, current_rev: revision });
      return;
    }
    if (request.method === "POST") {
      const created = body.metadata.name;
      const existing = objects.get(created);
      if (existing !== undefined) send(response, 409, wire(existing));
      else send(response, 201, wire(write(kind, created, { spec: body.spec, status: null })));
      return;
    }
    const existing = objects.get(name);
    if (existing === undefined) {
      send(response, 404, {});
      return;
    }
    if (request.method === "GET") {
      send(response, 200, wire(existing));
      return;
    }
    const expected = body?.metadata?.revision ?? query.get("revision");
    if (expected !== undefined && expected !== null && Number(expected) !== existing.revision) {
      send(response, 409, wire(existing));
      return;
    }
    if (request.method === "DELETE") {
      drop(kind, name);
      send(response, 200, {});
      return;
    }
    const changed =
      part === "status"
        ? { spec: existing.spec, status: body.status }
        : { spec: body.spec, status: existing.status };
    const isSame =
      JSON.stringify([existing.spec, existing.status]) ===
      JSON.stringify([changed.spec, changed.status]);
    send(response, 200, wire(isSame ? existing : write(kind, name, changed)));
  };
  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const text = Buffer.concat(chunks).toString();
      const body = text === "" ? undefined : JSON.parse(text);
      const url = new URL(request.url, "http://platform");
      const [, first, kind, name, part] = url.pathname.split("/");
      if (first === "usage" || first === "scale") {
        calls.push({
          at: Date.now(),
          path: `/${first}`,
          holder: request.headers["x-lease-holder"],
          fence: Number(request.headers["x-fencing-token"]),
          body,
        });
        send(response, 200, {});
        return;
      }
      const decoded = name === undefined ? undefined : decodeURIComponent(name);
      const call = { kind, name: decoded, part, query: url.searchParams, body };
      const behaviour = state.behave(request, call);
      if (behaviour === "silent") return;
      if (behaviour === "busy") {
        send(response, 503, {});
        return;
      }
      handleObject(request, response, call);
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    calls,
    state,
    /** Creates or replaces an object, as the operator and the workers do. */
    put: (kind, name, spec) =>
      void write(kind, name, { spec, status: objectsOf(kind).get(name)?.status ?? null }),
    remove: drop,
    names: (kind) => [...objectsOf(kind).keys()],
    get: (kind, name) => objectsOf(kind).get(name)?.spec,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
