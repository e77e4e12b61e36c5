import { expect, test } from "vitest";
import { RequestKind, EVERYTHING, STORE } from "./observation.ts";
import type { ObservedRequest, ObservedRun, Observations } from "./observation.ts";
import { BOUNDS, checkPromises } from "./promises.ts";
import type { Finding } from "./promises.ts";

const INSTANCE = "127.1.0.1:10000";
const OTHER = "127.1.0.1:10004";
const WORKER = "w-0-0";
const END = 60_000;

function ask(id: string, more: Partial<ObservedRequest> = {}): ObservedRequest {
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
    ...more,
  };
}

function run(id: string, at = 58_010, more: Partial<ObservedRun> = {}): ObservedRun {
  return { id, body: "", worker: WORKER, at, hasCrashed: false, ...more };
}

/** A soak in which all went well, but for what is given. */
function seen(more: Partial<Observations> = {}): Observations {
  return {
    startedAt: 0,
    endedAt: END,
    requests: [ask("a")],
    runs: [run("a")],
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

function brokenIn(observations: Observations): string[] {
  return checkPromises(observations)
    .filter(({ broken }) => broken.length > 0)
    .map(({ promise }: Finding) => promise);
}

function disturbed(target: string, from: number, to: number): Observations["disturbances"][number] {
  return { target, isPlanned: false, from, to };
}

/** Requests and runs of them at even distances. */
function series(
  count: number,
  { from, gap, ...more }: { from: number; gap: number } & Partial<ObservedRequest>,
): Pick<Observations, "requests" | "runs"> {
  const moments = Array.from({ length: count }, (_, index) => from + index * gap);
  return {
    requests: moments.map((sentAt, index) => ask(`s${index}`, { sentAt, ...more })),
    runs: moments.map((at, index) => run(`s${index}`, at + 5)),
  };
}

test("nothing is broken where all went well", () => {
  expect(brokenIn(seen())).toEqual([]);
});

const FAULTS: [string, Partial<Observations>][] = [
  [
    "an answer is whole and belongs to its request",
    { requests: [ask("a"), ask("b", { isRight: false })], runs: [] },
  ],
  ["what may run once runs once", { runs: [run("a"), run("a", 58_050)] }],
  [
    "what is said not to have run hasn't",
    { requests: [ask("a"), ask("b", { status: 503, sentAt: 1_000 })], runs: [run("b", 1_100)] },
  ],
  [
    "a refusal comes at once",
    { requests: [ask("a"), ask("b", { status: 503, sentAt: 1_000, endedAt: 1_800 })] },
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
      runs: Array.from({ length: 80 }, (_, index) => run(`s${index % 20}`, 58_005 + index)),
    },
  ],
  [
    "an account stays within its quota",
    {
      requests: [
        ask("a"),
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
        ask("a"),
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
    "a planned stop breaks no answer",
    {
      requests: [ask("a"), ask("b", { status: 0, isWhole: false, sentAt: 30_000 })],
      runs: [run("a"), run("b", 30_010)],
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
    { requests: [ask("a"), ask("b", { status: 503 })], runs: [run("a")] },
  ],
  [
    "ready and resolve tell the truth at the end",
    { ends: [{ instance: INSTANCE, isReady: true, resolved: [INSTANCE, OTHER] }] },
  ],
];

test.each(FAULTS)("is found to be broken: %s", (promise, fault) => {
  expect(brokenIn(seen(fault))).toEqual([promise]);
});

test("every promise is found to be broken by one of these", () => {
  const promises = checkPromises(seen()).map(({ promise }) => promise);
  expect(new Set(FAULTS.map(([promise]) => promise))).toEqual(new Set(promises));
});

test("what was disturbed is excused, and only for the time of contact", () => {
  const late = { leaving: [{ worker: WORKER, from: 50_000, to: 59_000 }] };
  const excuse = (from: number, to: number): string[] =>
    brokenIn(seen({ ...late, disturbances: [disturbed(INSTANCE, from, to)] }));
  expect(excuse(56_000, 57_000)).toEqual([]);
  expect(excuse(40_000, 50_000)).toHaveLength(1);
  expect(
    brokenIn(seen({ ...late, disturbances: [disturbed(OTHER, 56_000, 57_000)] })),
  ).toHaveLength(1);
  expect(
    brokenIn(seen({ ...late, disturbances: [disturbed(EVERYTHING, 56_000, 57_000)] })),
  ).toEqual([]);
  expect(brokenIn(seen({ ...late, disturbances: [disturbed(STORE, 51_000, 52_000)] }))).toEqual([]);
});

test("nothing excuses that what may run once runs twice", () => {
  const disturbances = [disturbed(EVERYTHING, 0, END)];
  expect(brokenIn(seen({ runs: [run("a"), run("a", 58_050)], disturbances }))).toHaveLength(1);
});

test("a request that crossed the close of its connection wasn't cut by the stop", () => {
  const crossed = ask("b", { status: 0, isWhole: false, sentAt: 30_000, endedAt: 30_050 });
  const stops = [{ target: INSTANCE, isPlanned: true, from: 29_900, to: 33_000 }];
  expect(brokenIn(seen({ requests: [ask("a"), crossed], stops }))).toEqual([]);
  const late = { ...crossed, endedAt: 30_000 + BOUNDS.crossing + 50 };
  expect(brokenIn(seen({ requests: [ask("a"), late], stops }))).toHaveLength(1);
});
