import type { CallerMemory } from "../decision/index.ts";
import type { Member } from "../interface/index.ts";
import type { Environment, RequestService } from "../request/index.ts";
import type { OperatorService } from "./operator_service.ts";

/** The dependencies of the routes for callers. */
export interface CallerRouteContext extends Pick<
  Environment,
  "clock" | "configuration" | "members" | "workers" | "counters" | "random"
> {
  readonly requests: RequestService;
  /** Limit on the memory for what is kept for callers. */
  readonly callerMemory: CallerMemory;
  /** Bearer token that authenticates operators. */
  readonly operatorKey: string;
}

/** The dependencies of the routes for operators. */
export interface OperatorRouteContext extends CallerRouteContext {
  readonly operators: OperatorService;
  /** Returns all members that aren't dead, including this one. */
  readonly presentMembers: () => readonly Member[];
  /** Whether callers connect over TLS. */
  readonly isSecure: boolean;
}
