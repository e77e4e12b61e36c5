import type { IncomingMessage } from "node:http";
import { Delivery, Repetition } from "../version/index.ts";
import type { Route, RoutedService } from "../version/index.ts";
import type { RequestFingerprint } from "./request_fingerprint.ts";
import type { RoutedArrival } from "./routed_arrival.ts";

/** A request whose body is complete and whose quota was charged. */
export interface AdmittedRequest {
  readonly request: IncomingMessage;
  readonly arrival: RoutedArrival;
  readonly service: RoutedService;
  readonly body: Buffer;
  readonly fingerprint: RequestFingerprint;
  /** The version at which the stream began that the request continues; undefined if it begins one. */
  readonly version: string | undefined;
  /** Refunds the account's quota, because the request certainly did not run. */
  readonly refundQuota: () => void;
}

/** Whether a route delivers its answers as streams of events. */
export function deliversEvents({ delivery }: Pick<Route, "delivery">): boolean {
  return delivery === Delivery.Events;
}

/** Whether another worker can continue a stream of the route after its last event. */
export function canContinueStreams(route: Pick<Route, "delivery" | "resumable">): boolean {
  return deliversEvents(route) && route.resumable;
}

/** Whether a request of the route may be sent again although it may have run. */
export function isRepeatable(route: Pick<Route, "delivery" | "repetition" | "resumable">): boolean {
  return route.repetition === Repetition.Idempotent || canContinueStreams(route);
}
