import type {
  RankedWorker,
  RepeatAllowance,
  ServiceSpeed,
  SharedQuota,
  Compared,
  PromptPart,
} from "../decision/index.ts";
import type {
  Clock,
  HeaderNames,
  Random,
  WorkerConnections,
  WorkerPlace,
} from "../interface/index.ts";
import type { RoutedService, RouteTable } from "../version/index.ts";
import type { RequestPrint } from "./request_print.ts";

/** How a run at a worker ended, as far as it speaks for or against the worker. */
export enum RunResult {
  /** It answered, whatever it answered. */
  Answered = "answered",
  /** It refused without running the request: it is full, or its queue outlasted the deadline. */
  Refused = "refused",
  /** It failed the request: an error of its own, a cut answer, no answer. */
  Failed = "failed",
  /** Nothing listens at its address: the request never left. */
  Unreachable = "unreachable",
  /** The address belongs to another worker by now. */
  Replaced = "replaced",
  /** The caller left or the time was up; says nothing of the worker. */
  Abandoned = "abandoned",
}

/** A run that this instance has at a worker. */
export interface BoardRun {
  /**
   * The worker has begun to answer.
   *
   * @param limit The requests a second that it takes from all instances together; undefined where it named none.
   */
  answering(limit: number | undefined): void;
  /** The first event has come: its prompt has been read. */
  read(): void;
  end(result: RunResult): void;
}

/** A worker that may be given requests. */
export interface BoardWorker extends RankedWorker, WorkerPlace {
  readonly service: string;
  /** Connections that this instance may have open to it. */
  readonly mostConnections: number;
}

/** The workers and what runs on them, over all instances. */
export interface WorkerBoard {
  /** Workers of the service that take new requests now. */
  candidates(service: RoutedService): BoardWorker[];
  /**
   * Milliseconds until one of the service's workers that say how much they take is given the next request, by any
   * instance; undefined where none of them says so.
   */
  opensIn(service: RoutedService): number | undefined;
  /** Those of them that a request with such a prompt is compared on first. */
  compared(service: RoutedService, parts: readonly PromptPart[]): Compared<BoardWorker>;
  /**
   * Notes a run.
   *
   * @param run `reads` are the prompt tokens that the worker has to read for it, `route` is the name of its route.
   */
  begin(worker: BoardWorker, run: { readonly reads: number; readonly route: string }): BoardRun;
  speed(service: RoutedService): ServiceSpeed;
  /** Called when a worker is about to leave: what runs there had better go on elsewhere. */
  onLeaving(worker: string, listener: () => void): { close(): void };
}

/** Requests that no worker gets, since workers crashed when they ran them. */
export interface Quarantine {
  /** Milliseconds after which the request may be offered to a worker again; 0 where it may be now. */
  waitFor(print: RequestPrint): number;
  /** A worker gave the request a whole answer. */
  answered(print: RequestPrint): void;
}

/** Finds out what became of workers in the middle of a run. */
export interface WorkerChecks {
  /** The connection to the worker broke in the middle of the request's run. */
  broke(worker: WorkerPlace, print: RequestPrint): void;
}

/** What a line of the decision log holds besides the request's id. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** What a routed request needs of its instance. */
export interface RoutedContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly names: HeaderNames;
  /** Undefined until a first configuration is known. */
  table(): RouteTable | undefined;
  readonly board: WorkerBoard;
  readonly connections: WorkerConnections;
  readonly quota: SharedQuota;
  readonly repeats: RepeatAllowance;
  readonly checks: WorkerChecks;
  readonly quarantine: Quarantine;
  /** A run of the account began at this moment of the clock. */
  began(account: string | undefined, at: number): void;
  /** Whether the instance has been asked to stop: connections are closed after their answer. */
  readonly isStopping: () => boolean;
  /** Whether it is too late in a planned stop to begin a request. */
  isClosedToNew(): boolean;
  /** Writes a line of the decision log. */
  readonly decided: (step: string, id: string | undefined, fields: DecisionFields) => void;
  readonly metrics: RoutedMetrics;
}

/** What is counted and timed of routed requests. */
export interface RoutedMetrics {
  answered(route: string, status: number, milliseconds: number): void;
  firstEvent(route: string, milliseconds: number): void;
  refused(reason: string): void;
  repeated(cause: string): void;
}
