import type { Member } from "../interface/index.ts";
import type { Environment, RequestService } from "../request/index.ts";
import type { OperatorService } from "./operator_service.ts";

/** What the routes of an entry instance work with. */
export interface EntryInstanceParts extends Pick<
  Environment,
  "clock" | "configuration" | "members" | "workers" | "counters" | "random"
> {
  readonly requests: RequestService;
  readonly operatorKey: string;
}

/** What the routes of operators work with besides. */
export interface OperatorParts extends EntryInstanceParts {
  readonly operators: OperatorService;
  /** All members that are not dead, this one included. */
  readonly present: () => readonly Member[];
  /** Whether callers' connections are encrypted. */
  readonly secure: boolean;
}
