import { expect, test } from "vitest";
import { createScheduler, Lane, RunEnd } from "../decision/index.ts";
import type { Arrival, Scheduler } from "../decision/index.ts";
import { Purchase, Refusal, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { parseTrace, getPolicy, PolicyName, replay } from "../standin/replay/index.ts";
import type { Trace } from "../standin/replay/index.ts";
import { sampleDeployment } from "../standin/replay/sample_trace.ts";
import { formatRevision, parseRevision } from "../version/index.ts";
import { recordScheduler } from "./recorder.ts";

const SOURCE = sampleDeployment();
const REVISION = parseRevision(1, formatRevision({ source: SOURCE, preset: "day", changes: [] }));

const WORKER: Worker = {
  id: "desk-0",
  address: "http://127.0.0.1:1",
  service: "desk",
  zone: "sofia-a",
  machineClass: "standard",
  purchase: Purchase.Reclaimable,
  state: WorkerState.Live,
};

function arrivalAt(arrivedAt: number, fields: Partial<Arrival> = {}): Arrival {
  return {
    id: `r${arrivedAt}`,
    account: "club",
    service: "desk",
    model: "",
    lane: Lane.Script,
    promptTokens: 600,
    prefix: ["a", "b"],
    repeatable: true,
    detached: false,
    arrivedAt,
    deadlineAt: arrivedAt + 30_000,
    ...fields,
  };
}

function answer(scheduler: Scheduler, arrival: Arrival, answerTokens: number): void {
  const admission = scheduler.admit(arrival, arrival.arrivedAt);
  if (admission.kind === "refused") return;
  const now = arrival.arrivedAt + 1_000;
  scheduler.runEnded(arrival.id, RunEnd.Complete, { now, answerTokens });
  scheduler.jobEnded(admission.job, now);
}

function record(use: (scheduler: Scheduler) => void, scheduler = createScheduler()): Trace {
  const lines: string[] = [];
  const write = (line: string): void => void lines.push(line);
  scheduler.setWorkers([WORKER], 100);
  use(recordScheduler(scheduler, { name: "e1", now: 100, revision: () => REVISION, write }));
  const result = parseTrace(lines.join(""), "recording");
  if (result.kind === "read") return result.trace;
  throw new Error(`Line ${result.line}: ${result.message}`);
}

test("records each request with the actual length of its answer, in a trace that can be replayed", () => {
  const trace = record((scheduler) => {
    answer(scheduler, arrivalAt(1_100, { maxTokens: 500 }), 40);
    answer(scheduler, arrivalAt(2_100, { detached: true, repeatable: false }), 70);
  });
  expect(trace.arrivals).toMatchObject([
    { t: 1_000, a: "club", s: "desk", p: 600, n: 40, m: 500, dl: 30_000 },
    { t: 2_000, n: 70, d: true, r: false, x: "a", xt: 512 },
  ]);
  const report = replay(trace, { policy: getPolicy(PolicyName.Current), seed: 1 });
  expect(report.groups["desk/script"]).toMatchObject({ arrived: 2, answered: 2 });
});

test("records refused requests too, because they are part of the load", () => {
  const refusing: Scheduler = {
    ...createScheduler(),
    admit: () => ({ kind: "refused", reason: Refusal.QueueFull, retryAfter: 1_000 }),
  };
  const trace = record((scheduler) => answer(scheduler, arrivalAt(1_100), 1), refusing);
  expect(trace.arrivals).toHaveLength(1);
});

test("records a reclaim notice once", () => {
  const trace = record((scheduler) => {
    answer(scheduler, arrivalAt(1_100), 10);
    const leaving = { ...WORKER, state: WorkerState.Leaving, reclaimAt: 9_000 };
    scheduler.setWorkers([leaving], 4_000);
    scheduler.setWorkers([leaving], 5_000);
  });
  expect(trace.faults).toEqual([
    { kind: "reclaim", t: 3_900, within: 5_000, service: "desk", index: 0 },
  ]);
});
