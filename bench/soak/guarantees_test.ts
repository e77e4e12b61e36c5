/**
 * Checks that each guarantee of the soak test fails on records that violate it, and only then: a check that always
 * passes would hide faults of the product.
 *
 * @module
 */
import { expect, test } from "vitest";
import { RequestKind, ALL_TARGETS, STORE } from "./observation.ts";
import type { ObservedRequest, ObservedRun, Observations } from "./observation.ts";
import { BOUNDS } from "./check.ts";
import type { Finding } from "./check.ts";
import { checkGuarantees } from "./guarantees.ts";

const INSTANCE = "127.1.0.1:10000";
const OTHER = "127.1.0.1:10004";
const WORKER = "w-0-0";
const END = 60_000;

function requestOf(id: string, more: Partial<ObservedRequest> = {}): ObservedRequest {
  const sentAt = more.sentAt ?? 58_000;
  return {
    id,
    kind: RequestKind.Once,
    body: "",
    instance: INSTANCE,
    sentAt,
    endedAt: sentAt + 20,
    status: 200,
    isWhole: true,
    isRight: true,
    isGivenUp: false,
    hasLeft: false,
    isResumed: false,
    ...more,
  };
}

function runOf(id: string, at = 58_010, more: Partial<ObservedRun> = {}): ObservedRun {
  return { id, body: "", worker: WORKER, at, hasCrashed: false, announcesLeaving: false, ...more };
}

/** Records of a test without violations, overridden by `more`. */
function records(more: Partial<Observations> = {}): Observations {
  return {
    startedAt: 0,
    endedAt: END,
    requests: [requestOf("a")],
    runs: [runOf("a")],
    rejections: [],
    probes: [],
    configurations: new Map(),
    duties: [],
    disturbances: [],
    leaving: [],
    limited: [],
    stops: [],
    processes: [],
    ends: [],
    ...more,
  };
}

function violatedIn(observations: Observations): string[] {
  return checkGuarantees(observations)
    .filter(({ broken }) => broken.length > 0)
    .map(({ promise }: Finding) => promise);
}

function disturbance(
  target: string,
  from: number,
  to: number,
): Observations["disturbances"][number] {
  return { target, isPlanned: false, from, to };
}

/** Creates requests at a fixed interval, each with one run. */
function series(
  count: number,
  { from, gap, ...more }: { from: number; gap: number } & Partial<ObservedRequest>,
): Pick<Observations, "requests" | "runs"> {
  const times = Array.from({ length: count }, (_, index) => from + index * gap);
  return {
    requests: times.map((sentAt, index) => requestOf(`s${index}`, { sentAt, ...more })),
    runs: times.map((at, index) => runOf(`s${index}`, at + 5)),
  };
}

/** A request at the end, as the last ones must be served. */
const LATEST = requestOf("latest");

/** Creates a rejection that asks for a pause, and requests that arrive in the pause. */
function pauseRecords(count: number): Pick<Observations, "requests" | "runs" | "rejections"> {
  const { requests, runs } = series(count, { from: 30_600, gap: 100 });
  const rejected = requestOf("rejected", { sentAt: 29_990 });
  return {
    requests: [rejected, ...requests, LATEST],
    runs,
    rejections: [{ id: rejected.id, worker: WORKER, at: 30_000, pause: 3_000 }],
  };
}

test("records without faults violate nothing", () => {
  expect(violatedIn(records())).toEqual([]);
});

const FAULTS: [string, Partial<Observations>][] = [
  [
    "an answer is whole and belongs to its request",
    { requests: [requestOf("a"), requestOf("b", { isRight: false })], runs: [] },
  ],
  ["what may run once runs once", { runs: [runOf("a"), runOf("a", 58_050)] }],
  [
    "what is said not to have run hasn't",
    {
      requests: [requestOf("a"), requestOf("b", { status: 503, sentAt: 1_000 })],
      runs: [runOf("b", 1_100)],
    },
  ],
  [
    "a refusal comes at once",
    { requests: [requestOf("a"), requestOf("b", { status: 503, sentAt: 1_000, endedAt: 1_800 })] },
  ],
  [
    "a worker that leaves gets nothing more",
    { leaving: [{ worker: WORKER, from: 55_000, to: 59_000 }] },
  ],
  [
    "a configuration is in force in time, and stays",
    {
      configurations: new Map([[2, 10_000]]),
      probes: [{ instance: INSTANCE, process: 7, version: 2, at: 12_500, status: 404 }],
    },
  ],
  [
    "a configuration is in force in time, and stays",
    {
      configurations: new Map([[2, 10_000]]),
      probes: [200, 404].map((status, index) => ({
        instance: INSTANCE,
        process: 7,
        version: 2,
        at: 10_100 + index * 500,
        status,
      })),
    },
  ],
  [
    "repeats stay within their budget",
    {
      ...series(20, { from: 58_000, gap: 10, kind: RequestKind.Safe }),
      runs: Array.from({ length: 80 }, (_, index) => runOf(`s${index % 20}`, 58_005 + index)),
    },
  ],
  [
    "an account stays within its quota",
    {
      requests: [
        requestOf("a"),
        ...series(300, { from: 20_000, gap: 10, kind: RequestKind.Hot }).requests,
      ],
      runs: series(300, { from: 20_000, gap: 10 }).runs,
    },
  ],
  [
    "one instance at a time makes the platform's calls",
    {
      duties: [
        { path: "/scale", holder: INSTANCE, fence: 4, body: {}, at: 10_000 },
        { path: "/scale", holder: OTHER, fence: 4, body: {}, at: 10_010 },
      ],
    },
  ],
  [
    "one instance at a time makes the platform's calls",
    {
      duties: [
        { path: "/scale", holder: INSTANCE, fence: 5, body: {}, at: 10_000 },
        { path: "/scale", holder: OTHER, fence: 4, body: {}, at: 10_010 },
      ],
    },
  ],
  [
    "a stream goes on at the version that began it",
    {
      requests: [
        requestOf("a"),
        requestOf("b", { kind: RequestKind.Stream, isResumed: true, isRight: false }),
      ],
    },
  ],
  [
    "a stream that is taken up goes on",
    {
      requests: [
        LATEST,
        ...series(20, { from: 20_000, gap: 10, kind: RequestKind.Stream }).requests,
        ...series(12, {
          ...{ from: 30_000, gap: 10, kind: RequestKind.Stream },
          ...{ isResumed: true, status: 503 },
        }).requests,
      ],
      runs: [],
    },
  ],
  [
    "a window of usage is reported with one count",
    {
      duties: [1, 2].map((count) => ({
        path: "/usage",
        holder: INSTANCE,
        fence: 4,
        body: { window: 9, counts: { club: count } },
        at: 10_000,
      })),
    },
  ],
  [
    "a request that crashes workers is kept from them",
    {
      requests: [
        requestOf("a"),
        ...series(9, { from: 10_000, gap: 2_500, kind: RequestKind.Crashing }).requests,
      ],
      runs: series(9, { from: 10_000, gap: 2_500 }).runs.map((one) => ({
        ...one,
        hasCrashed: true,
      })),
    },
  ],
  [
    "a worker gets no more than it names",
    {
      ...series(30, { from: 56_100, gap: 100 }),
      limited: [{ worker: WORKER, perSecond: 1, from: 50_000, to: END }],
    },
  ],
  [
    "a worker that announces its end in responses gets nothing more",
    {
      requests: [requestOf("a", { sentAt: 30_000 }), requestOf("b", { sentAt: 33_000 }), LATEST],
      runs: [runOf("a", 30_010, { announcesLeaving: true }), runOf("b", 33_010)],
    },
  ],
  ["a worker that asks for a pause gets none in it", pauseRecords(3)],
  [
    "a planned stop breaks no answer",
    {
      requests: [requestOf("a"), requestOf("b", { status: 0, isWhole: false, sentAt: 30_000 })],
      runs: [runOf("a"), runOf("b", 30_010)],
      stops: [{ target: INSTANCE, isPlanned: true, from: 29_900, to: 33_000 }],
    },
  ],
  [
    "an instance's memory, descriptors and log are bounded",
    {
      processes: [{ instance: INSTANCE, at: 10_000, memory: 4e8, descriptors: 50, lines: 1_000 }],
    },
  ],
  [
    "all is served again at the end",
    { requests: [requestOf("a"), requestOf("b", { status: 503 })], runs: [runOf("a")] },
  ],
  [
    "ready and resolve tell the truth at the end",
    { ends: [{ instance: INSTANCE, isReady: true, resolved: [INSTANCE, OTHER] }] },
  ],
];

test.each(FAULTS)("a violation is detected: %s", (promise, fault) => {
  expect(violatedIn(records(fault))).toEqual([promise]);
});

test("each guarantee is violated by one of these records", () => {
  const promises = checkGuarantees(records()).map(({ promise }) => promise);
  expect(new Set(FAULTS.map(([promise]) => promise))).toEqual(new Set(promises));
});

test("a disturbance excuses violations, but only for the recovery time", () => {
  const late = { leaving: [{ worker: WORKER, from: 50_000, to: 59_000 }] };
  const excuse = (from: number, to: number): string[] =>
    violatedIn(records({ ...late, disturbances: [disturbance(INSTANCE, from, to)] }));
  expect(excuse(56_000, 57_000)).toEqual([]);
  expect(excuse(40_000, 50_000)).toHaveLength(1);
  expect(
    violatedIn(records({ ...late, disturbances: [disturbance(OTHER, 56_000, 57_000)] })),
  ).toHaveLength(1);
  expect(
    violatedIn(records({ ...late, disturbances: [disturbance(ALL_TARGETS, 56_000, 57_000)] })),
  ).toEqual([]);
  expect(
    violatedIn(records({ ...late, disturbances: [disturbance(STORE, 51_000, 52_000)] })),
  ).toEqual([]);
});

test("two requests in a pause are tolerated, and more if the instance or the backend server was disturbed", () => {
  expect(violatedIn(records(pauseRecords(2)))).toEqual([]);
  const excuse = (target: string, from: number, to: number): string[] =>
    violatedIn(records({ ...pauseRecords(3), disturbances: [disturbance(target, from, to)] }));
  expect(excuse(INSTANCE, 30_100, 31_000)).toEqual([]);
  expect(excuse(WORKER, 30_100, 31_000)).toEqual([]);
  expect(excuse(OTHER, 30_100, 31_000)).toHaveLength(1);
  expect(excuse(STORE, 30_100, 31_000)).toHaveLength(1);
});

test("an announced end binds the instance that forwarded it, also while the store is disturbed", () => {
  const announced = requestOf("a", { sentAt: 30_000 });
  const run = runOf("a", 30_010, { announcesLeaving: true });
  const violations = (
    sentAt: number,
    more: Partial<Observations> = {},
    instance = INSTANCE,
  ): string[] =>
    violatedIn(
      records({
        requests: [announced, requestOf("b", { sentAt, instance }), LATEST],
        runs: [run, runOf("b", sentAt + 10)],
        ...more,
      }),
    );
  expect(violations(announced.endedAt + BOUNDS.drain)).toEqual([]);
  expect(violations(announced.endedAt + BOUNDS.drain + 1)).toHaveLength(1);
  expect(violations(33_000, {}, OTHER)).toEqual([]);
  expect(violations(33_000, { disturbances: [disturbance(STORE, 30_000, 40_000)] })).toHaveLength(
    1,
  );
  expect(violations(33_000, { disturbances: [disturbance(INSTANCE, 31_000, 31_500)] })).toEqual([]);
});

test("no disturbance excuses a second run of a request that may run at most once", () => {
  const disturbances = [disturbance(ALL_TARGETS, 0, END)];
  expect(
    violatedIn(records({ runs: [runOf("a"), runOf("a", 58_050)], disturbances })),
  ).toHaveLength(1);
});

test("a request that coincides with the close of its connection was not interrupted by the stop", () => {
  const closing = requestOf("b", { status: 0, isWhole: false, sentAt: 30_000, endedAt: 30_050 });
  const stops = [{ target: INSTANCE, isPlanned: true, from: 29_900, to: 33_000 }];
  expect(violatedIn(records({ requests: [requestOf("a"), closing], stops }))).toEqual([]);
  const late = { ...closing, endedAt: 30_000 + BOUNDS.closing + 50 };
  expect(violatedIn(records({ requests: [requestOf("a"), late], stops }))).toHaveLength(1);
});
