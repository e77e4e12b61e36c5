import { expect, test } from "vitest";
import type { StreamRecord } from "../decision/index.ts";
import { createStallingClock } from "../standin/memory/index.ts";
import { createStreamInquiries } from "./stream_inquiries.ts";
import type { StreamInquiriesParts, StreamQuestion } from "./stream_inquiries.ts";

const SERVICE = "desk";
const ATTEMPT = 1n;
const OTHER_ATTEMPT = 2n;
const RECORD: StreamRecord = { kind: "known", service: SERVICE, version: "v1" };
/** Milliseconds after which an instance that was asked answers. */
const ANSWER_TIME = 10;

interface InquirySetup {
  readonly clock: ReturnType<typeof createStallingClock>;
  /** Addresses of the instances that are known, and of those that were asked. */
  readonly known: string[];
  readonly asked: string[];
  /** The questions that were sent. */
  readonly questions: StreamQuestion[];
  /** The results of the inquiry. */
  readonly results: (StreamRecord | undefined)[];
  /** Starts another inquiry, about the stream of another attempt. */
  readonly startOther: () => void;
  /** Has an instance answer its last question, or another one, with or without the record. */
  readonly answer: (
    address: string,
    answer?: { readonly record?: StreamRecord; readonly question?: number | undefined },
  ) => void;
}

/** Starts an inquiry about a stream of a service with two versions. */
function startInquiry(parts: Pick<StreamInquiriesParts, "isDiscovering">): InquirySetup {
  const clock = createStallingClock();
  const known = ["a"];
  const asked: string[] = [];
  const questions: StreamQuestion[] = [];
  const lastQuestions = new Map<string, number>();
  const results: (StreamRecord | undefined)[] = [];
  let found: StreamRecord | undefined;
  const inquiries = createStreamInquiries({
    clock,
    instances: () => known,
    expectsOthers: () => true,
    isDiscovering: parts.isDiscovering,
    readVersions: () => Promise.resolve(new Map()),
    find: () => found,
    send: (question, address) => {
      asked.push(address);
      questions.push(question);
      lastQuestions.set(address, question.number);
    },
  });
  const versions = ["v1", "v2"];
  const done = (record: StreamRecord | undefined): void => void results.push(record);
  inquiries.start({ attempt: ATTEMPT, service: SERVICE, versions, done });
  clock.advance(ANSWER_TIME);
  return {
    clock,
    known,
    asked,
    questions,
    results,
    startOther: () => {
      inquiries.start({ attempt: OTHER_ATTEMPT, service: SERVICE, versions, done });
      clock.advance(ANSWER_TIME);
    },
    answer: (sender, { record, question = lastQuestions.get(sender) ?? 0 } = {}) => {
      found = record;
      inquiries.recordsReceived();
      inquiries.answered({ question, sender, recent: [{ service: SERVICE, versions }] });
    },
  };
}

// Guards against streams that are refused because the process had no time to read the answers that had arrived.
test("a stall of the process doesn't end an inquiry", () => {
  const { clock, results, answer } = startInquiry({ isDiscovering: () => false });
  clock.stall(1_000);
  answer("a", { record: RECORD });
  expect(results).toEqual([RECORD]);
});

// Guards against streams that are refused although an instance has their records, because its answer to an earlier
// question, about another stream, arrived after the question about them was sent.
test("an answer counts only for the streams of its question", () => {
  const { questions, results, startOther, answer } = startInquiry({ isDiscovering: () => false });
  startOther();
  expect(questions.map(({ attempts }) => attempts)).toEqual([[ATTEMPT], [OTHER_ATTEMPT]]);
  const [first, second] = questions.map(({ number }) => number);
  answer("a", { question: first });
  expect(results).toEqual([undefined]);
  answer("a", { question: second, record: RECORD });
  expect(results).toEqual([undefined, RECORD]);
});

// Guards against streams that are refused by an instance that has just started and has heard only of one that has no
// copy of the record yet.
test("an instance that still discovers others asks them before a stream counts as unknown", () => {
  const { clock, known, asked, results, answer } = startInquiry({ isDiscovering: () => true });
  answer("a");
  clock.advance(300);
  expect(results).toEqual([]);
  known.push("b");
  clock.advance(100);
  expect(asked).toContain("b");
  answer("b", { record: RECORD });
  expect(results).toEqual([RECORD]);
});

// Guards against callers that wait for an answer that can't come.
test.each([false, true])("an inquiry ends in time (discovering: %s)", (isDiscovering) => {
  const { clock, results, answer } = startInquiry({ isDiscovering: () => isDiscovering });
  if (isDiscovering) answer("a");
  clock.advance(isDiscovering ? 450 : 300);
  expect(results).toEqual([undefined]);
});
