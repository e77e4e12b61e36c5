import { createReceiveBudget, ReceivedPart } from "../decision/index.ts";
import type { ReceiveBudget } from "../decision/index.ts";
import type {
  Exchange,
  ExchangeEnd,
  ExchangeSink,
  WorkerEndpoint,
  WorkerRequest,
} from "../interface/index.ts";
import { DialFailure } from "../interface/index.ts";
import type { WorkerConnection } from "./worker_connection.ts";

/** The report in which a worker states when its process started. */
export interface ProcessReport {
  /** Path of the report at every worker. */
  readonly path: string;
  /** Reads the start of the process in Unix milliseconds from a report; undefined if it contains none. */
  readonly readStart: (body: string) => number | undefined;
}

/** Sends requests on connections whose worker process has been identified. */
export interface ProcessIdentity {
  /**
   * Sends a request after the worker has stated on the same connection that its process is the one that the endpoint
   * describes. A connection is identified only once.
   *
   * A worker may come back under its id as another process with other software. Until its entry in the store
   * changes, nothing else distinguishes them.
   */
  exchange(
    connection: WorkerConnection,
    request: WorkerRequest,
    options: { readonly worker: WorkerEndpoint; readonly sink: ExchangeSink },
  ): Exchange;
}

const SUCCESS = 200;
const EMPTY_BODY = Buffer.alloc(0);
/** Maximum size of a report in bytes. Reports have some hundred; a faulty worker may send one that never ends. */
const MAX_REPORT_BYTES = 65_536;

/**
 * Creates an identity without any identified connection.
 *
 * @param options `budget` limits what the reports of all workers hold together.
 */
export function createProcessIdentity(
  { path, readStart }: ProcessReport,
  { budget = createReceiveBudget() }: { readonly budget?: ReceiveBudget } = {},
): ProcessIdentity {
  const identified = new WeakSet<WorkerConnection>();
  return {
    exchange: (connection, request, { worker, sink }) => {
      // Workers whose entries state no start get a new id with each process.
      if (worker.startedAt === 0 || identified.has(connection))
        return connection.exchange(request, sink);
      const chunks: Buffer[] = [];
      const held = budget.open(ReceivedPart.Report);
      let size = 0;
      let status = 0;
      let isIdentifying = true;
      const receive = (chunk: Buffer): void => {
        size += chunk.length;
        chunks.push(chunk);
        if (held.hold(size) && size <= MAX_REPORT_BYTES) return;
        held.recordExceeded(worker.id);
        held.close();
        current.abort();
        const detail = `The worker's report on its process is too long: ${size} bytes or more.`;
        sink.end({ kind: "not-sent", detail, cause: DialFailure.Unanswered });
      };
      const continueWith = (end: ExchangeEnd): void => {
        held.close();
        if (end.kind !== "complete" || !connection.isIdle()) {
          sink.end(unsent(end));
          return;
        }
        const start = status === SUCCESS ? readStart(Buffer.concat(chunks).toString()) : undefined;
        if (start !== undefined && start !== worker.startedAt) {
          connection.close();
          sink.end({ kind: "replaced", detail: "Another process has the worker's id." });
          return;
        }
        if (start !== undefined) identified.add(connection);
        isIdentifying = false;
        current = connection.exchange(request, sink);
      };
      const report: WorkerRequest = {
        method: "GET",
        target: path,
        headers: ["Host", worker.address],
        body: EMPTY_BODY,
        id: undefined,
      };
      const reportSink: ExchangeSink = {
        head: (head) => (status = head.status),
        data: receive,
        end: continueWith,
      };
      let current = connection.exchange(report, reportSink, { isPreparatory: true });
      return {
        get sentAt() {
          return isIdentifying ? undefined : current.sentAt;
        },
        pause: () => current.pause(),
        hold: () => current.hold(),
        resume: () => current.resume(),
        abort: () => {
          held.close();
          current.abort();
        },
        discard: () => current.discard(),
      };
    },
  };
}

/** Returns the end of a request that was not sent, because its worker's process could not be identified. */
function unsent(end: ExchangeEnd): ExchangeEnd {
  if (end.kind === "not-sent" || end.kind === "replaced") return end;
  if (end.kind === "broken") {
    const cause = end.isRelayFault === true ? DialFailure.NoPath : DialFailure.Unanswered;
    return { kind: "not-sent", detail: end.detail, cause };
  }
  // A worker may close any connection after a response. Another connection is opened at once.
  const detail = "The worker closed the connection after the report on its process.";
  return { kind: "not-sent", detail, cause: DialFailure.NoPath };
}
