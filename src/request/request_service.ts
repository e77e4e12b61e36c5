import { randomBytes } from "node:crypto";
import { Lane } from "../decision/index.ts";
import type { Arrival, Job } from "../decision/index.ts";
import { Refusal, RequestState, SlotOutcome } from "../interface/index.ts";
import type { EngineEvent, RequestRecord, Worker } from "../interface/index.ts";
import { SLOT_COUNT } from "../version/index.ts";
import type { Environment } from "./environment.ts";
import type { CallerEvent, Rejection, RequestService, Submission } from "./request_api.ts";
import { formatRequestId } from "./request_id.ts";

/** How long a request may take when nobody says. */
const DEFAULT_DEADLINE = 60_000;

/** The requests of one entry instance: each is run once on one worker, and nothing is kept. */
export function createRequestService(environment: Environment): RequestService {
  const unknown: Rejection = {
    reason: Refusal.UnknownRequest,
    notRun: false,
    detail: "No request has this id.",
  };
  return {
    submit: (submission, signal) => run(environment, { submission, signal }),
    // eslint-disable-next-line @typescript-eslint/require-await
    follow: async function* () {
      yield { kind: "rejected", rejection: unknown };
    },
    find: () => Promise.resolve(unknown),
    cancel: () => Promise.resolve(unknown),
    handlers: {
      replicate: () => ({ outcome: SlotOutcome.Unable, epoch: 0 }),
      cede: () => ({ outcome: SlotOutcome.Unable, epoch: 0 }),
      relay: () => {
        throw new Error("Requests are not relayed yet.");
      },
      ask: () => Promise.resolve({ outcome: SlotOutcome.Unable, epoch: 0 }),
    },
    copyTo: () => Promise.resolve(false),
    stopTaking: () => undefined,
    cedeAll: () => Promise.resolve(),
    inProgress: () => 0,
    close: () => undefined,
  };
}

async function* run(
  environment: Environment,
  { submission, signal }: { submission: Submission; signal: AbortSignal },
): AsyncGenerator<CallerEvent> {
  const { clock, engine, random, scheduler } = environment;
  const arrival = arrivalOf(environment, submission);
  const admission = scheduler.admit(arrival, clock.now());
  if (admission.kind === "refused") {
    const detail = "The request was turned away.";
    yield { kind: "rejected", rejection: { ...admission, notRun: true, detail } };
    return;
  }
  const placement = scheduler.place(admission.job, {
    now: clock.now(),
    random,
    avoid: new Set(),
  });
  const worker =
    placement.kind === "placed" ? environment.workers.find(placement.worker) : undefined;
  if (worker === undefined) {
    const detail = "No backend server of the service takes work.";
    yield {
      kind: "rejected",
      rejection: { reason: Refusal.NoBackendServer, notRun: true, detail },
    };
    return;
  }
  yield { kind: "accepted", id: arrival.id };
  const dispatch = dispatchOf(admission.job, submission);
  for await (const event of engine.run(worker, dispatch, signal)) {
    const told = callerEvent(event, recordOf(submission, { arrival, worker }));
    if (told !== undefined) yield told;
  }
}

function dispatchOf(job: Job, submission: Submission): Parameters<Environment["engine"]["run"]>[1] {
  return {
    id: job.id,
    attempt: 1,
    service: job.service,
    path: submission.path,
    body: submission.body,
    tokens: [],
    priority: 0,
    timeLeft: job.deadlineAt - job.arrivedAt,
  };
}

function callerEvent(event: EngineEvent, record: RequestRecord): CallerEvent | undefined {
  if (event.kind === "token") return event;
  if (event.kind === "finished") return { kind: "ended", record };
  return undefined;
}

function recordOf(
  submission: Submission,
  { arrival, worker }: { arrival: Arrival; worker: Worker },
): RequestRecord {
  return {
    id: arrival.id,
    slot: 0,
    account: submission.account,
    service: submission.service,
    state: RequestState.Complete,
    repeatable: arrival.repeatable,
    detached: submission.detached,
    keyed: submission.key !== undefined,
    fingerprint: "",
    path: submission.path,
    body: submission.body,
    attempt: 1,
    worker: worker.id,
    tokens: [],
    tokensFrom: 0,
    reason: Refusal.None,
    detail: "stop",
    acceptedAt: arrival.arrivedAt,
    deadlineAt: arrival.deadlineAt,
    sequence: 1,
  };
}

function arrivalOf({ clock, random }: Environment, submission: Submission): Arrival {
  const now = clock.now();
  const slot = Math.floor(random.next() * SLOT_COUNT);
  return {
    id: formatRequestId(slot, randomBytes(12).toString("hex")),
    account: submission.account,
    service: submission.service,
    model: submission.model,
    lane: Lane.Lookup,
    promptTokens: submission.body.length / 4,
    prefix: [],
    repeatable: submission.repeatable ?? true,
    detached: submission.detached,
    arrivedAt: now,
    deadlineAt: now + (submission.deadline ?? DEFAULT_DEADLINE),
  };
}
