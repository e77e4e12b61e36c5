import type { StreamRecord } from "../decision/index.ts";
import { afterRunningTime } from "../interface/index.ts";
import type { Clock, Timer } from "../interface/index.ts";
import type { ServiceVersions } from "./service_versions.ts";
import { inDatagrams } from "./stream_record_codec.ts";
import type { RecentVersions } from "./stream_record_codec.ts";

/** Asks the other instances at which version streams began. */
export interface StreamInquiries {
  /** Starts an inquiry. `done` is called once, not before this returns. */
  start(inquiry: StreamInquiry): { close(): void };
  /** Applies the records of a message: inquiries whose record is found now end. */
  recordsReceived(): void;
  /** Applies an instance's answer to a question: its statement on the recent versions of services. */
  answered(answer: QuestionAnswer): void;
  close(): void;
}

/** A question to one instance about streams. */
export interface StreamQuestion {
  /** Identifies the question among all of this process. */
  readonly number: number;
  readonly attempts: readonly bigint[];
  readonly services: readonly string[];
}

/** An instance's answer to a question. The records that it found are applied before. */
export interface QuestionAnswer {
  /** The number of the question. */
  readonly question: number;
  /** Address of the instance that answers. */
  readonly sender: string;
  readonly recent: readonly RecentVersions[];
}

/** What is to be found out about one stream. */
export interface StreamInquiry {
  /** Hash of the attempt that brought its first event; undefined if its caller names none. */
  readonly attempt: bigint | undefined;
  /** The service whose only version it may have begun at. */
  readonly service: string;
  /** The service's recent versions as seen by this instance. */
  readonly versions: readonly string[];
  readonly done: (record: StreamRecord | undefined) => void;
}

/** Dependencies of {@linkcode createStreamInquiries}. */
export interface StreamInquiriesParts {
  readonly clock: Clock;
  /** Returns the addresses of the other live instances. */
  readonly instances: () => readonly string[];
  /** Whether other instances are expected, although none may be known to be live yet. */
  readonly expectsOthers: () => boolean;
  /** Whether this instance has just started and has not heard from every address that it knows. */
  readonly isDiscovering: () => boolean;
  /** What this instance knows of the workers. */
  readonly view: WorkerView;
  readonly find: (attempt: bigint) => StreamRecord | undefined;
  readonly send: (question: StreamQuestion, address: string) => void;
}

/** How far an instance's knowledge of the workers can be trusted. */
export interface WorkerView {
  /** Whether no recent digest of another instance shows that it knows later changes; false without such digests. */
  isCurrent(): boolean;
  /** Whether another instance has sent a digest recently. */
  hasRecentDigest(): boolean;
  /** Whether it has followed the workers for as long as streams last. */
  coversPeriod(): boolean;
  /** Reads from the store which versions the services have or have recently had. */
  readVersions(): Promise<ServiceVersions>;
}

/** An inquiry in progress. */
interface OpenInquiry extends StreamInquiry {
  /** Addresses of the instances that were asked and have not answered. */
  readonly unanswered: Set<string>;
  /** Addresses of the instances that have answered. */
  readonly answeredBy: Set<string>;
  /** All recent versions that instances have stated. */
  readonly seen: Set<string>;
  /** Whether one of them has followed the workers for as long as streams last. */
  hasCompleteView: boolean;
  /** Whether the recent versions according to the store are among those seen. */
  isConfirmed: boolean;
  /** Ends the inquiry when the stream counts as unknown at the latest. */
  timeout: Timer | undefined;
  /** When its question was last sent, in the clock's milliseconds. */
  askedAt: number;
}

/** Milliseconds for which questions are collected: all streams of an ended instance arrive together. */
const QUESTION_DELAY = 5;
/** Milliseconds after which instances that have not answered are asked again, because a datagram may be lost. */
const REPEAT_INTERVAL = 60;
/**
 * Milliseconds of running time after which a stream counts as unknown; an instance on a busy processor answers within
 * this time.
 */
const INQUIRY_TIMEOUT = 300;
/** The same for an instance that has just started: it learns of the others with their next digests. */
const DISCOVERY_TIMEOUT = 450;
/** Number of steps of these times: a stall of the process that takes as long as two steps doesn't count. */
const TIMEOUT_STEPS = 10;

/**
 * Creates an empty set of inquiries.
 *
 * An inquiry ends with the first record that is found. Without one, it ends once a complete view shows that the service
 * has had only one version, when all instances have answered, or after a timeout; the stream is unknown then unless
 * its version is the only one.
 */
export function createStreamInquiries(parts: StreamInquiriesParts): StreamInquiries {
  const { clock, find, view } = parts;
  const open = new Set<OpenInquiry>();
  /**
   * The inquiries that each question without an answer is about, by its number. An answer says nothing about other
   * streams, even if it arrives after a question about them was sent.
   */
  const questions = new Map<number, readonly OpenInquiry[]>();
  let lastQuestion = 0;
  let isReading = false;
  let timer: Timer | undefined;
  /** When the timer fires, in the clock's milliseconds. */
  let timerAt = Infinity;

  const recordOf = ({ attempt }: StreamInquiry): StreamRecord | undefined =>
    attempt === undefined ? undefined : find(attempt);
  const remove = (inquiry: OpenInquiry): boolean => {
    inquiry.timeout?.close();
    return open.delete(inquiry);
  };
  const end = (inquiry: OpenInquiry, record: StreamRecord | undefined): void => {
    if (remove(inquiry)) inquiry.done(record);
  };
  /** Returns the record of a stream whose service has had only one version for as long as streams last. */
  const onlyVersion = (inquiry: OpenInquiry): StreamRecord | undefined => {
    const [version] = inquiry.seen;
    if (version === undefined || inquiry.seen.size > 1) return undefined;
    return hasCompleteView(inquiry)
      ? { kind: "known", service: inquiry.service, version }
      : undefined;
  };
  const isFinal = (inquiry: OpenInquiry): boolean =>
    !expectsAnswers(inquiry) || (inquiry.seen.size === 1 && hasCompleteView(inquiry));
  const hasCompleteView = (inquiry: OpenInquiry): boolean =>
    inquiry.hasCompleteView ||
    inquiry.isConfirmed ||
    // A caller that names no attempt expects only one version, so the present one is enough.
    (inquiry.attempt === undefined && (inquiry.answeredBy.size > 0 || view.isCurrent()));
  /** Whether an answer may still come from the store or another instance. */
  const expectsAnswers = ({ unanswered, answeredBy }: OpenInquiry): boolean =>
    isReading ||
    unanswered.size > 0 ||
    parts.isDiscovering() ||
    (answeredBy.size === 0 && parts.expectsOthers());
  /**
   * Reads the versions from the store. Without digests of other instances, nothing else shows whether
   * this instance has missed a change, and after a start, which version has just left.
   */
  const confirm = async (): Promise<void> => {
    if (isReading) return;
    isReading = true;
    const versions = await view.readVersions().catch(() => undefined);
    isReading = false;
    for (const inquiry of open) {
      if (versions !== undefined) {
        for (const version of versions.get(inquiry.service) ?? []) inquiry.seen.add(version);
        inquiry.isConfirmed = true;
      }
      update(inquiry);
    }
  };
  const update = (inquiry: OpenInquiry): void => {
    const record = recordOf(inquiry);
    if (record !== undefined) end(inquiry, record);
    else if (inquiry.attempt === undefined && inquiry.seen.size > 1) end(inquiry, undefined);
    else if (isFinal(inquiry)) end(inquiry, onlyVersion(inquiry));
  };
  const ask = (): void => {
    timer = undefined;
    const now = clock.now();
    const addresses = parts.instances();
    const due = [...open].filter(({ askedAt }) => askedAt <= now - REPEAT_INTERVAL);
    for (const inquiry of due) {
      inquiry.askedAt = now;
      for (const address of addresses) {
        if (!inquiry.answeredBy.has(address)) inquiry.unanswered.add(address);
      }
      update(inquiry);
    }
    forgetQuestions();
    const unknown = due.filter((inquiry) => open.has(inquiry));
    for (const address of addresses) {
      const asked = unknown.filter(({ unanswered }) => unanswered.has(address));
      for (const some of inDatagrams(asked)) sendQuestion(some, address);
    }
    const earliest = Math.min(...[...open].map(({ askedAt }) => askedAt));
    if (open.size > 0) schedule(earliest + REPEAT_INTERVAL);
  };
  const sendQuestion = (asked: readonly OpenInquiry[], address: string): void => {
    questions.set(++lastQuestion, asked);
    const attempts = asked.flatMap(({ attempt }) => attempt ?? []);
    const services = [...new Set(asked.map(({ service }) => service))];
    parts.send({ number: lastQuestion, attempts, services }, address);
  };
  const forgetQuestions = (): void => {
    for (const [number, asked] of questions)
      if (!asked.some((inquiry) => open.has(inquiry))) questions.delete(number);
  };
  const schedule = (at: number): void => {
    if (timer !== undefined && timerAt <= at) return;
    timer?.close();
    timerAt = at;
    timer = clock.after(Math.max(0, at - clock.now()), ask);
  };
  return {
    start: (inquiry) => {
      const knowsOthers = parts.instances().length > 0 && !parts.isDiscovering();
      const opened: OpenInquiry = {
        ...inquiry,
        unanswered: new Set(),
        answeredBy: new Set(),
        seen: new Set(inquiry.versions),
        hasCompleteView: false,
        isConfirmed: false,
        timeout: undefined,
        askedAt: -Infinity,
      };
      // After a stall of the process, the answers that have arrived meanwhile are read first.
      opened.timeout = afterRunningTime(
        clock,
        knowsOthers ? INQUIRY_TIMEOUT : DISCOVERY_TIMEOUT,
        () => end(opened, onlyVersion(opened)),
        { steps: TIMEOUT_STEPS },
      );
      open.add(opened);
      if (!view.hasRecentDigest() || !view.coversPeriod()) void confirm();
      schedule(clock.now() + QUESTION_DELAY);
      return { close: () => void remove(opened) };
    },
    recordsReceived: () => {
      for (const inquiry of open) update(inquiry);
    },
    answered: ({ question, sender, recent }) => {
      const versionsByService = new Map(recent.map((one) => [one.service, one]));
      const asked = questions.get(question) ?? [];
      questions.delete(question);
      for (const inquiry of asked) {
        const statement = versionsByService.get(inquiry.service);
        if (!open.has(inquiry) || statement === undefined) continue;
        inquiry.unanswered.delete(sender);
        inquiry.answeredBy.add(sender);
        for (const version of statement.versions) inquiry.seen.add(version);
        if (statement.isComplete) inquiry.hasCompleteView = true;
        update(inquiry);
      }
    },
    close: () => {
      timer?.close();
      for (const inquiry of open) remove(inquiry);
    },
  };
}
