import type { IncomingMessage } from "node:http";
import type { ResponseHead, HeaderNames } from "../interface/index.ts";

/**
 * Headers that apply to a single connection. The framing of the body is set again for the next
 * connection.
 */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Headers that an entry instance adds to a request for a worker, by name. */
export type AddedHeaders = Readonly<Record<string, string>>;

/**
 * Returns the headers of a request for a worker: the caller's headers in their order, without
 * connection headers, the key and headers reserved for the system, followed by the added headers.
 */
export function buildRequestHeaders(
  request: IncomingMessage,
  { names, added }: { names: HeaderNames; added: AddedHeaders },
): string[] {
  const dropped = new Set([
    ...CONNECTION_HEADERS,
    ...parseConnectionHeader(request.headers.connection),
    ...names.reserved,
    ...Object.keys(added),
    names.key,
    names.account,
    names.deadline,
  ]);
  const retained = removeHeaders(request.rawHeaders, dropped);
  for (const [name, value] of Object.entries(added)) retained.push(name, value);
  return retained;
}

/** Values from which the headers for a worker are made. */
export interface WorkerHeaderValues {
  /** Milliseconds left until the deadline. */
  readonly timeLeft: number;
  /** Id of the worker that the request is intended for. */
  readonly worker: string;
  /** Name of the client account; undefined if the route requires none. */
  readonly account: string | undefined;
  /** Priority of the request; undefined for services without engines. */
  readonly priority: number | undefined;
  /** Id of the last event that the caller has, if a stream is continued. */
  readonly lastEventId: string | undefined;
}

/** Minimum deadline that is sent to a worker, because a worker treats 0 as no deadline. */
const MIN_DEADLINE = 1;
/** Lowest priority that engines support. */
const LOWEST_PRIORITY = 9;

/** Returns the headers that an entry instance adds itself. */
export function buildAddedHeaders(
  names: HeaderNames,
  instructions: WorkerHeaderValues,
): AddedHeaders {
  const { timeLeft, worker, account, priority, lastEventId } = instructions;
  const added: Record<string, string> = {
    [names.deadline]: String(Math.max(MIN_DEADLINE, Math.floor(timeLeft))),
    [names.expectedWorker]: worker,
  };
  if (account !== undefined) added[names.account] = account;
  if (priority !== undefined) added[names.priority] = String(Math.min(LOWEST_PRIORITY, priority));
  if (lastEventId !== undefined) added[names.lastEventId] = lastEventId;
  return added;
}

/** Returns the headers of a worker's response that are sent to the caller. */
export function buildResponseHeaders({ headers, byName }: ResponseHead): string[] {
  const dropped = new Set([
    ...CONNECTION_HEADERS,
    ...parseConnectionHeader(byName.get("connection")),
  ]);
  return removeHeaders(headers, dropped);
}

/** Parses the names in a `Connection` header. */
function parseConnectionHeader(connection: string | undefined): string[] {
  return (connection ?? "").split(",").map((name) => name.trim().toLowerCase());
}

function removeHeaders(headers: readonly string[], dropped: ReadonlySet<string>): string[] {
  const retained: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? "";
    if (!dropped.has(name.toLowerCase())) retained.push(name, headers[index + 1] ?? "");
  }
  return retained;
}
