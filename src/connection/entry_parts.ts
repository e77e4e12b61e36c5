import type { ObjectStore } from "../interface/index.ts";
import type { Environment, RequestService } from "../request/index.ts";

/** What the routes of an entry instance work with. */
export interface EntryInstanceParts extends Pick<
  Environment,
  "clock" | "configuration" | "members" | "workers" | "counters" | "random"
> {
  readonly requests: RequestService;
  readonly store: ObjectStore;
  readonly operatorKey: string;
}
