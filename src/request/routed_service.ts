import type { IncomingMessage, ServerResponse } from "node:http";
import { createCallerResponse, RoutedRefusal } from "./caller_response.ts";
import type { CallerResponse } from "./caller_response.ts";
import { quotaCost, readArrival } from "./routed_arrival.ts";
import type { RoutedArrival } from "./routed_arrival.ts";
import type { RoutedContext } from "./routed_context.ts";
import { fingerprintRequest } from "./request_fingerprint.ts";
import { startRoutedRun } from "./routed_run.ts";
import { pickService } from "./traffic_share.ts";
import type { RouteTable } from "../version/index.ts";

/** Serves routed requests on callers' connections. */
export interface RoutedRequests {
  /** Handles a request on a caller's connection. */
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  /** Number of requests that have arrived and not ended. */
  readonly inProgress: number;
}

/**
 * Why a request is refused before it is sent to a worker, with the values that the decision was
 * based on.
 */
interface RefusalDetail {
  readonly reason: RoutedRefusal;
  readonly id: string | undefined;
  /** Milliseconds after which the caller may retry. */
  readonly retryAfter?: number;
  readonly account?: string;
  /** Amount that the request uses of its quota, and the account's rate per second. */
  readonly size?: number;
  readonly rate?: number;
}

/** Milliseconds after which a caller may retry at an instance without a configuration. */
const NOT_READY_RETRY_AFTER = 300;
/**
 * Milliseconds after which a caller may retry if the instance is stopping: other instances are
 * available at once.
 */
const STOPPING_RETRY_AFTER = 50;

/** Creates the service for routed requests of one instance. */
export function createRoutedRequests(context: RoutedContext): RoutedRequests {
  let inProgress = 0;
  const refuse = (
    callerResponse: CallerResponse,
    { reason, id, retryAfter, ...fields }: RefusalDetail,
  ): void => {
    context.metrics.refused(reason);
    context.logDecision("refused", id, { reason, retryAfter, ...fields });
    if (!callerResponse.isClosed) callerResponse.refuse(reason, retryAfter);
  };
  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    inProgress++;
    const callerResponse = createCallerResponse(response, { isClosing: context.isStopping });
    let abandon = (): void => undefined;
    response.once("close", () => {
      inProgress--;
      if (!response.writableFinished) abandon();
    });
    const now = context.clock.now();
    const idHeader = request.headers[context.names.requestId];
    const id = typeof idHeader === "string" ? idHeader : undefined;
    const table = context.table();
    if (table === undefined) {
      const reason = RoutedRefusal.NotReady;
      refuse(callerResponse, { reason, id, retryAfter: NOT_READY_RETRY_AFTER });
      return;
    }
    if (context.isClosedToNew()) {
      const reason = RoutedRefusal.Stopping;
      refuse(callerResponse, { reason, id, retryAfter: STOPPING_RETRY_AFTER });
      return;
    }
    const arrival = readArrival(request, { table, names: context.names, now });
    if ("kind" in arrival) {
      const reason = arrival.kind === "no-route" ? RoutedRefusal.NoRoute : RoutedRefusal.UnknownKey;
      refuse(callerResponse, { reason, id });
      return;
    }
    readBody(request, table.routing.limits.maxBodyBytes, (body) => {
      if (body === "too-large") {
        refuse(callerResponse, { reason: RoutedRefusal.BodyTooLarge, id });
        return;
      }
      if (callerResponse.isClosed) return;
      const run = admit({ request, arrival, body, table }, callerResponse);
      if (run !== undefined) abandon = run;
    });
  };
  /**
   * Makes the checks that need more than the request's head. Returns a function that abandons the
   * run, or undefined if the request was refused.
   */
  const admit = (
    admitted: { request: IncomingMessage; arrival: RoutedArrival; body: Buffer; table: RouteTable },
    callerResponse: CallerResponse,
  ): (() => void) | undefined => {
    const { request, arrival, body, table } = admitted;
    const { id, account, resumption } = arrival;
    if (resumption !== undefined)
      context.logDecision("resumed", id, {
        from: resumption.lastEventId,
        attempt: resumption.attempt,
      });
    const name = pickService(arrival.route, context.random);
    const service = name === undefined ? undefined : table.service(name);
    if (service === undefined) {
      refuse(callerResponse, { reason: RoutedRefusal.NoWorker, id });
      return undefined;
    }
    let refundQuota = (): void => undefined;
    if (account?.quota !== undefined) {
      const { name: accountName, quota } = account;
      const size = quotaCost(quota, arrival.declaredTokens);
      const now = context.clock.now();
      const wait = context.quota.take({ account: accountName, quota, size, now });
      if (wait > 0) {
        const reason = RoutedRefusal.QuotaUsedUp;
        refuse(callerResponse, {
          reason,
          id,
          retryAfter: wait,
          account: accountName,
          size,
          rate: quota.perSecond,
        });
        return undefined;
      }
      refundQuota = () => context.quota.refund(accountName, size);
    }
    const fingerprint = fingerprintRequest(request, { account: account?.name, body });
    const admittedRequest = { request, arrival, service, body, fingerprint, refundQuota };
    const run = startRoutedRun(context, admittedRequest, callerResponse);
    return () => run.abandon();
  };
  return {
    handle,
    get inProgress() {
      return inProgress;
    },
  };
}

/** Reads a body. Calls `done` at its end, or as soon as the body exceeds the limit. */
function readBody(
  request: IncomingMessage,
  limit: number,
  done: (body: Buffer | "too-large") => void,
): void {
  if (Number(request.headers["content-length"] ?? 0) > limit) {
    done("too-large");
    return;
  }
  const chunks: Buffer[] = [];
  let size = 0;
  request.on("data", (chunk: Buffer) => {
    if (size > limit) return;
    size += chunk.length;
    chunks.push(chunk);
    if (size <= limit) return;
    chunks.length = 0;
    done("too-large");
  });
  request.on("end", () => {
    if (size <= limit) done(Buffer.concat(chunks));
  });
}
