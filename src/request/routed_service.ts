import type { IncomingMessage, ServerResponse } from "node:http";
import { giveUpBody, readCallerBody } from "./caller_body.ts";
import type { BodyEnd } from "./caller_body.ts";
import { createCallerConnections } from "./caller_connections.ts";
import { createCallerResponse, RoutedRefusal } from "./caller_response.ts";
import type { CallerResponse } from "./caller_response.ts";
import { quotaAttempt, quotaCost, readArrival } from "./routed_arrival.ts";
import type { RoutedArrival } from "./routed_arrival.ts";
import type { RoutedContext } from "./routed_context.ts";
import { receivedTime } from "./received_at.ts";
import { openRequestMemory } from "./request_memory.ts";
import type { RequestMemory } from "./request_memory.ts";
import { fingerprintRequest } from "./request_fingerprint.ts";
import type { AdmittedRequest } from "./routed_request.ts";
import { responseEndOf } from "./response_end.ts";
import { STOPPING_RETRY_AFTER } from "./routed_end.ts";
import { startRoutedRun } from "./routed_run.ts";
import type { RoutedRun } from "./routed_run.ts";
import { pickService } from "./traffic_share.ts";
import type { StreamVersion } from "../decision/index.ts";
import { Delivery } from "../version/index.ts";
import type { RoutedService, RouteTable } from "../version/index.ts";

/** Serves routed requests on callers' connections. */
export interface RoutedRequests {
  /** Handles a request on a caller's connection. */
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  /** Number of requests that have not ended, or whose connection ends with their response and is not closed yet. */
  readonly inProgress: number;
  /** Gives all requests in progress their final answers, because the instance ends. */
  endAll(): void;
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
  /** What is left of the account's quota, and what large requests leave to smaller ones. */
  readonly level?: number;
  readonly reserve?: number;
}

/** A request whose head has arrived. */
interface ArrivedRequest {
  readonly request: IncomingMessage;
  readonly id: string | undefined;
  /** What is kept for it. */
  readonly memory: RequestMemory;
  /** Called with the run that it leads to; undefined if it is refused. */
  readonly onRun: (run: RoutedRun | undefined) => void;
}

/** A request whose quota isn't charged yet. */
type UnchargedRequest = Omit<AdmittedRequest, "fingerprint" | "refundQuota">;
/** A request for which the service is chosen, but not the version of its workers. */
type ServiceRequest = Omit<UnchargedRequest, "version"> & { readonly table: RouteTable };

/** Milliseconds after which a caller may retry at an instance without a configuration. */
const NOT_READY_RETRY_AFTER = 300;
/** Milliseconds after which a caller may retry whose request was given up for others. */
const MEMORY_RETRY_AFTER = 1_000;
/** Creates the service for routed requests of one instance. */
export function createRoutedRequests(context: RoutedContext): RoutedRequests {
  /** For each request in progress, how it is ended when the instance ends. */
  const openRequests = new Map<ServerResponse, () => void>();
  const callerConnections = createCallerConnections();
  const refuse = (
    callerResponse: CallerResponse,
    { reason, id, retryAfter, ...fields }: RefusalDetail,
  ): void => {
    context.metrics.refused(reason);
    context.logDecision("refused", id, { reason, retryAfter, ...fields });
    if (!callerResponse.isClosed) callerResponse.refuse(reason, retryAfter);
  };
  const refuseStopping = (callerResponse: CallerResponse, id: string | undefined): void => {
    const reason = RoutedRefusal.Stopping;
    refuse(callerResponse, { reason, id, retryAfter: STOPPING_RETRY_AFTER });
  };
  /** Logs what a stopping instance has written of a response, because no other line tells whether it left the process. */
  const logCloseInStop = (response: ServerResponse, id: string | undefined): void => {
    const arrivedAt = context.clock.now();
    response.once("close", () => {
      if (!context.isStopping()) return;
      const after = Math.round(context.clock.now() - arrivedAt);
      context.logDecision("closed", id, { end: responseEndOf(response), after });
    });
  };
  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    const connection = callerConnections.add(request.socket, response);
    const idHeader = request.headers[context.names.requestId];
    const id = typeof idHeader === "string" ? idHeader : undefined;
    logCloseInStop(response, id);
    if (connection.isEnding || request.socket.writableEnded) {
      request.resume();
      return;
    }
    const memory = openRequestMemory(context.callerMemory, request, response);
    const callerResponse = createCallerResponse(response, {
      clock: context.clock,
      connection: {
        isStopping: () => context.isStopping(),
        whenFirst: (send) => connection.whenFirst(send),
        endWithResponse: () => context.isStopping() && connection.endWithResponse(),
      },
      budget: context.received,
      memory,
    });
    let run: RoutedRun | undefined;
    response.once("close", () => {
      if (!response.writableFinished) run?.abandon();
      const end = (): void => void openRequests.delete(response);
      // What the caller hasn't read yet would be lost with the process, if the caller still sends something.
      if (connection.endsWithResponse && !request.socket.destroyed)
        request.socket.once("close", end);
      else end();
    });
    openRequests.set(response, () => {
      if (run !== undefined) run.endAtStop();
      else if (!callerResponse.isClosed) refuseStopping(callerResponse, id);
    });
    const onRun = (started: RoutedRun | undefined): void => void (run = started);
    const accepted = { request, id, memory, onRun };
    if (!context.isStopping()) {
      accept(accepted, callerResponse);
      return;
    }
    // A refusal may end the connection, so the requests that arrived together must all be known before.
    setImmediate(() => {
      if (!callerResponse.isClosed) accept(accepted, callerResponse);
    });
  };
  /** Refuses a request by its head, or reads its body and makes the other checks. */
  const accept = (arrived: ArrivedRequest, callerResponse: CallerResponse): void => {
    const { request, id, memory, onRun } = arrived;
    const now = receivedTime(request) ?? context.clock.now();
    const table = context.table();
    if (table === undefined) {
      const reason = RoutedRefusal.NotReady;
      refuse(callerResponse, { reason, id, retryAfter: NOT_READY_RETRY_AFTER });
      return;
    }
    if (context.isClosedToNew()) {
      refuseStopping(callerResponse, id);
      return;
    }
    const arrival = readArrival(request, { table, names: context.names, now });
    if ("kind" in arrival) {
      const reason = arrival.kind === "no-route" ? RoutedRefusal.NoRoute : RoutedRefusal.UnknownKey;
      refuse(callerResponse, { reason, id });
      return;
    }
    memory.setAccount(arrival.account?.name);
    const refuseForMemory = (): void => {
      body.stop();
      giveUpBody(request);
      const reason = RoutedRefusal.CallerMemory;
      refuse(callerResponse, { reason, id, retryAfter: MEMORY_RETRY_AFTER });
    };
    const done = (end: BodyEnd): void => {
      memory.setRefusal(undefined);
      if (end.kind === "too-large") {
        refuse(callerResponse, { reason: RoutedRefusal.BodyTooLarge, id });
        return;
      }
      if (callerResponse.isClosed) return;
      if (memory.keep()) onRun(admit({ request, arrival, body: end.body, table }, callerResponse));
      else refuseForMemory();
    };
    memory.setRefusal(refuseForMemory);
    const body = readCallerBody(request, table.routing.limits.maxBodyBytes, { memory, done });
  };
  /**
   * Makes the checks that need more than the request's head. Returns the run that the request leads to; undefined if it
   * was refused.
   */
  const admit = (
    admitted: { request: IncomingMessage; arrival: RoutedArrival; body: Buffer; table: RouteTable },
    callerResponse: CallerResponse,
  ): RoutedRun | undefined => {
    const { arrival, table } = admitted;
    const { id, route, resumption } = arrival;
    const name = pickService(route, context.random);
    const service = name === undefined ? undefined : table.service(name);
    if (service === undefined) {
      refuse(callerResponse, { reason: RoutedRefusal.NoWorker, id });
      return undefined;
    }
    if (route.delivery !== Delivery.Events || !route.resumable)
      return start({ ...admitted, service, version: undefined }, callerResponse);
    return resumption === undefined
      ? startWhenRecorded({ ...admitted, service }, callerResponse)
      : startAtVersion({ ...admitted, service }, callerResponse);
  };
  /** Starts the run of a stream that may be taken up later. */
  const startWhenRecorded = (admitted: ServiceRequest, callerResponse: CallerResponse): RoutedRun =>
    runAfter(admitted, callerResponse, (begin) =>
      context.streamVersions.whenRecorded(admitted.service.name, () =>
        begin({ ...admitted, version: undefined }),
      ),
    );
  /** Starts the run of the rest of a stream, at the version at which it began. */
  const startAtVersion = (admitted: ServiceRequest, callerResponse: CallerResponse): RoutedRun => {
    const { arrival, table, service } = admitted;
    const { id } = arrival;
    return runAfter(admitted, callerResponse, (begin) =>
      findVersion(arrival, service, (found) => {
        const began = found === undefined ? undefined : serviceOf(found, arrival, table);
        if (found !== undefined && began !== undefined) {
          begin({ ...admitted, service: began, version: found.version });
          return;
        }
        if (callerResponse.isClosed) return;
        const reason =
          found === undefined ? RoutedRefusal.VersionUnknown : RoutedRefusal.VersionGone;
        refuse(callerResponse, { reason, id });
      }),
    );
  };
  /** Starts a run when something that it needs is known. Until then, it ends as one that hasn't begun. */
  const runAfter = (
    { arrival: { id } }: ServiceRequest,
    callerResponse: CallerResponse,
    wait: (begin: (admitted: UnchargedRequest) => void) => { close(): void },
  ): RoutedRun => {
    let run: RoutedRun | undefined;
    const pending = wait((admitted) => {
      if (!callerResponse.isClosed) run = start(admitted, callerResponse);
    });
    return {
      abandon: () => {
        pending.close();
        run?.abandon();
      },
      endAtStop: () => {
        pending.close();
        if (run !== undefined) run.endAtStop();
        else if (!callerResponse.isClosed) refuseStopping(callerResponse, id);
      },
    };
  };
  /** Finds out at which version the stream began that the request continues. */
  const findVersion = (
    { id, account, resumption }: RoutedArrival,
    service: RoutedService,
    done: (version: StreamVersion | undefined) => void,
  ): { close(): void } => {
    const { lastEventId: from, attempt } = resumption ?? {};
    context.logDecision("resumed", id, { from, attempt });
    const named = attempt === undefined ? undefined : { account: account?.name, id: attempt };
    return context.streamVersions.find(named, service.name, (version, evidence) => {
      const { basis, seen, answers, isStoreRead } = evidence;
      context.logDecision("version-determined", id, {
        basis,
        version: version?.version,
        seen: seen.join(" "),
        answers,
        isStoreRead,
      });
      done(version);
    });
  };
  /** Returns the service at which a stream began; undefined if the route no longer leads to it. */
  const serviceOf = (
    { service }: StreamVersion,
    { route }: RoutedArrival,
    table: RouteTable,
  ): RoutedService | undefined =>
    route.shares.some((share) => share.service === service) ? table.service(service) : undefined;
  /** Charges the quota and starts the run; undefined if the quota is used up. */
  const start = (
    admitted: UnchargedRequest,
    callerResponse: CallerResponse,
  ): RoutedRun | undefined => {
    const { request, arrival, body } = admitted;
    const { id, account } = arrival;
    let refundQuota = (): void => undefined;
    if (account?.quota !== undefined) {
      const { name: accountName, quota } = account;
      const size = quotaCost(quota, arrival.declaredTokens);
      const now = context.clock.now();
      const attempt = quotaAttempt(arrival, now);
      const wait = context.quota.take({ account: accountName, quota, size, attempt, now });
      if (wait > 0) {
        const reason = RoutedRefusal.QuotaUsedUp;
        const { level = 0, reserve = 0 } = context.quota.account(accountName) ?? {};
        refuse(callerResponse, {
          reason,
          id,
          retryAfter: wait,
          account: accountName,
          size,
          rate: quota.perSecond,
          level: Math.round(level),
          reserve: Math.round(reserve),
        });
        return undefined;
      }
      refundQuota = () => context.quota.refund(accountName, size);
    }
    const fingerprint = fingerprintRequest(request, { account: account?.name, body });
    return startRoutedRun(context, { ...admitted, fingerprint, refundQuota }, callerResponse);
  };
  return {
    handle,
    get inProgress() {
      return openRequests.size;
    },
    endAll: () => {
      for (const end of openRequests.values()) end();
    },
  };
}
