import type {
  AccountShares,
  AnswerTimes,
  CallerMemory,
  RankedWorker,
  StreamVersion,
  ReceiveBudget,
  RepeatBudget,
  ServiceTiming,
  SharedQuota,
  CandidateWorkers,
  PromptPart,
  WorkerPart,
} from "../decision/index.ts";
import type {
  Clock,
  HeaderNames,
  Random,
  WorkerConnections,
  WorkerEndpoint,
} from "../interface/index.ts";
import type { RoutedService, RouteTable } from "../version/index.ts";
import type { RequestFingerprint } from "./request_fingerprint.ts";
import type { WorkerTolerance } from "./worker_statement.ts";

/** The end of a run at a worker, from which the worker's health is assessed. */
export enum RunResult {
  /** The worker responded, with any status other than an internal error. */
  Answered = "answered",
  /**
   * The worker refused without running the request: it is full, or its queue is longer than the
   * time until the deadline.
   */
  Refused = "refused",
  /** The worker responded with an internal error. */
  Error = "error",
  /** There was a truncated response or none. The worker has failed, or the path to it. */
  Failed = "failed",
  /** Nothing listens at the worker's address, so the request was never sent. */
  Unreachable = "unreachable",
  /** The address belongs to another worker now. */
  Replaced = "replaced",
  /** The caller disconnected or the deadline passed. This is no evidence about the worker. */
  Abandoned = "abandoned",
}

/** A run of this instance at a worker. */
export interface WorkerRun {
  /** Records that the worker has started to respond, and what the response states about the load that it bears. */
  recordResponse(tolerance: WorkerTolerance): void;
  /** Records the milliseconds of silence by which the worker exceeded the time after which it counts as silent. */
  recordSilence(duration: number): void;
  /** Records that the first event has arrived, so the worker has read the prompt. */
  recordFirstEvent(): void;
  /** Ends the run and records its result. */
  end(result: RunResult): void;
}

/** A worker that may receive requests. */
export interface CandidateWorker extends RankedWorker, WorkerEndpoint {
  /** Name of the worker's service. */
  readonly service: string;
  /** Version of the worker's software. */
  readonly version: string;
  /** Maximum number of connections from this instance to the worker. */
  readonly maxConnections: number;
  /** The part of the service's workers that it belongs to; undefined if long prompts aren't separated. */
  readonly part: WorkerPart | undefined;
}

/** A prompt for which workers are sampled. */
export interface RoutedPrompt {
  /** Name of its route. */
  readonly route: string;
  readonly parts: readonly PromptPart[];
  /** Whether workers of both parts are drawn, because those of the intended part have no capacity. */
  readonly fromAll?: boolean;
}

/** The workers that are compared first for a request. */
export interface WorkerSample extends CandidateWorkers<CandidateWorker> {
  /** The part of the service's workers that the prompt is intended for; undefined if prompts aren't separated. */
  readonly part: WorkerPart | undefined;
}

/** The workers and their load from all instances. */
export interface WorkerLoads {
  /** Returns the service's workers that accept new requests now. */
  candidates(service: RoutedService): CandidateWorker[];
  /**
   * Milliseconds until the next request may be sent to one of the service's workers that have a
   * request limit, counted over all instances, or have asked for a pause; undefined if there are no
   * such workers.
   */
  timeUntilCapacity(service: RoutedService): number | undefined;
  /** Whether the service has a worker of this version that isn't about to leave. */
  hasVersion(service: RoutedService, version: string): boolean;
  /** Returns the sample of the candidates that is compared first for a request with this prompt. */
  sample(service: RoutedService, prompt: RoutedPrompt): WorkerSample;
  /**
   * Registers a run.
   *
   * @param run `prefillTokens` is the number of prompt tokens that the worker has to process for it,
   * `route` is the name of its route, `promptTokens` is the number of tokens of the whole prompt, cached
   * parts included; by default `prefillTokens`.
   */
  begin(
    worker: CandidateWorker,
    run: {
      readonly prefillTokens: number;
      readonly route: string;
      readonly promptTokens?: number | undefined;
    },
  ): WorkerRun;
  /** Returns the prefill rate and the run time of the service's workers. */
  timing(service: RoutedService): ServiceTiming;
  /**
   * Calls the listener when the worker is about to leave, so that its runs can continue elsewhere.
   */
  onLeaving(worker: string, listener: () => void): { close(): void };
}

/** An attempt of a caller to get a stream. */
export interface StreamAttempt {
  /** Name of the client account; undefined if the route requires none. */
  readonly account: string | undefined;
  /** The request id chosen by the caller. */
  readonly id: string;
}

/** How the version was determined at which a stream began. */
export enum VersionBasis {
  /** This instance has a record of the stream. */
  OwnRecord = "own-record",
  /** Another instance had a record of the stream. */
  OtherRecord = "other-record",
  /** No instance has a record, and the service had only one version. */
  OnlyVersion = "only-version",
  /** The version can't be known. */
  None = "none",
}

/** What the version of a stream was determined from, for the log. */
export interface VersionEvidence {
  readonly basis: VersionBasis;
  /** The recent versions of its service, as far as they were looked up. */
  readonly seen: readonly string[];
  /** Number of instances that answered the question about it. */
  readonly answers: number;
  /** Whether the versions were read from the store for it. */
  readonly isStoreRead: boolean;
}

/** The versions of workers at which streams began, from all instances. */
export interface StreamVersions {
  /**
   * Calls `done`, usually at once, when a stream may begin at the workers of a service: their versions are recorded, so
   * that the stream can't go on at another version, whatever happens to the instances.
   */
  whenRecorded(service: string, done: () => void): { close(): void };
  /** Records that the attempt brings its caller the first event of a stream, from a worker of this version. */
  recordStart(attempt: StreamAttempt, version: StreamVersion): void;
  /**
   * Finds out at which version a stream began.
   *
   * @param attempt The attempt that brought its first event; undefined if its caller names none.
   * @param service The service at which it began if no instance has a record of it.
   * @param done Called once with the version; undefined if it can't be known. It may be called at once.
   */
  find(
    attempt: StreamAttempt | undefined,
    service: string,
    done: (version: StreamVersion | undefined, evidence: VersionEvidence) => void,
  ): { close(): void };
}

/** Requests, or parts of prompts, that are not sent to any worker because workers crashed while running them. */
export interface Quarantine {
  /**
   * Returns the milliseconds after which it may be sent to a worker again; 0 if it may be sent now.
   */
  remainingTime(fingerprint: RequestFingerprint): number;
  /** Records that a worker answered. */
  recordAnswer(fingerprint: RequestFingerprint): void;
}

/** Determines what happened to workers that lost their connection during a run. */
export interface WorkerChecks {
  /** Reports that the connection to the worker broke during a run, and what may have crashed the worker. */
  reportBrokenConnection(worker: WorkerEndpoint, suspects: readonly RequestFingerprint[]): void;
}

/** The fields of a line of the decision log besides the request id. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Times of a planned stop, in the clock's milliseconds. */
export interface StopTimes {
  /** When the instance ends all answers. */
  readonly answersEndAt: number;
  /** Until when requests are accepted whose deadlines are later than the end of all answers. */
  readonly acceptsLongUntil: number;
}

/** Dependencies of the routed requests of an instance. */
export interface RoutedContext {
  readonly clock: Clock;
  readonly random: Random;
  /** Names of the headers, from the settings. */
  readonly names: HeaderNames;
  /** Returns undefined until the first configuration is received. */
  table(): RouteTable | undefined;
  readonly workerLoads: WorkerLoads;
  readonly connections: WorkerConnections;
  /** Limit on the memory for what is kept for callers. */
  readonly callerMemory: CallerMemory;
  /** Limit on the memory for what workers send. */
  readonly received: ReceiveBudget;
  /** Quotas of the client accounts, shared by all instances. */
  readonly quota: SharedQuota;
  /** The accounts' shares of services that are overloaded. */
  readonly shares: AccountShares;
  /** Limit on the repeats of each service. */
  readonly repeats: RepeatBudget;
  readonly checks: WorkerChecks;
  /** Quarantine of whole requests. */
  readonly quarantine: Quarantine;
  /** Quarantine of parts that the prompts of different requests share. */
  readonly partQuarantine: Quarantine;
  readonly streamVersions: StreamVersions;
  /** Records that a run for the account started at this time, in the clock's milliseconds. */
  recordStart(account: string | undefined, at: number): void;
  /**
   * Whether the instance has been asked to stop. Connections are then closed after their response.
   */
  readonly isStopping: () => boolean;
  /** Whether a planned stop has progressed too far to start new requests. */
  isClosedToNew(): boolean;
  /** The times of the planned stop in progress; undefined if the instance isn't stopping. */
  stopTimes(): StopTimes | undefined;
  /** How long answers take, to find those that would not end before. */
  readonly answerTimes: AnswerTimes;
  /** Writes a line of the decision log. */
  readonly logDecision: (step: string, id: string | undefined, fields: DecisionFields) => void;
  readonly metrics: RoutedMetrics;
}

/** Metrics of routed requests. Times are in milliseconds. */
export interface RoutedMetrics {
  /** Records a response and the time from arrival to its end. */
  answered(route: string, status: number, milliseconds: number): void;
  /** Records the time from arrival to the first event. */
  firstEvent(route: string, milliseconds: number): void;
  /** Counts a refusal. */
  refused(reason: string): void;
  /** Counts a refusal of which the caller already had a part of the answer. */
  cut(reason: string): void;
  /** Counts a repeat at another worker. */
  repeated(cause: string): void;
}
