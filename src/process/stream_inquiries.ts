import type { StreamRecord } from "../decision/index.ts";
import { afterRunningTime } from "../interface/index.ts";
import type { Clock, Timer } from "../interface/index.ts";
import { VersionBasis } from "../request/index.ts";
import type { VersionEvidence } from "../request/index.ts";
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
  readonly done: (record: StreamRecord | undefined, evidence: VersionEvidence) => void;
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
  /** Reads from the store which versions the services have or have recently had. */
  readonly readVersions: () => Promise<ServiceVersions>;
  readonly find: (attempt: bigint) => StreamRecord | undefined;
  readonly send: (question: StreamQuestion, address: string) => void;
}

/** An inquiry in progress. */
interface OpenInquiry extends StreamInquiry {
  /** Addresses of the instances that were asked and have not answered. */
  readonly unanswered: Set<string>;
  /** Addresses of the instances that have answered. */
  readonly answeredBy: Set<string>;
  /** All recent versions that instances have stated. */
  readonly seen: Set<string>;
  /** Whether the recent versions according to the store, read after the start, are among those seen. */
  isConfirmed: boolean;
  /** When it started, in the clock's milliseconds. */
  readonly startedAt: number;
  /** Ends the inquiry when the stream counts as unknown at the latest. */
  timeout: Timer | undefined;
  /** When its question was last sent, in the clock's milliseconds. */
  askedAt: number;
  /** How often it was sent. */
  timesAsked: number;
}

/** Milliseconds for which questions are collected: all streams of an ended instance arrive together. */
const QUESTION_DELAY = 5;
/** Milliseconds after which instances that have not answered are asked again, because a datagram may be lost. */
const REPEAT_INTERVAL = 60;
/** Milliseconds after which the store is read: usually, the instance at which the stream began has answered before. */
const CONFIRMATION_DELAY = 15;
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
 * An inquiry ends with the first record that is found. Without one, the stream is unknown unless its service has had only
 * one version. What instances know of that may be out of date, without a sign of it, on an instance that is cut off or was
 * suspended; it would join events of two versions. So only the store counts, as read after the start of the inquiry.
 */
export function createStreamInquiries(parts: StreamInquiriesParts): StreamInquiries {
  const { clock, find } = parts;
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
  const end = (
    inquiry: OpenInquiry,
    { record, basis }: { record: StreamRecord | undefined; basis: VersionBasis },
  ): void => {
    if (!remove(inquiry)) return;
    const { seen, answeredBy, isConfirmed } = inquiry;
    inquiry.done(record, {
      basis: record === undefined ? VersionBasis.None : basis,
      seen: [...seen],
      answers: answeredBy.size,
      isStoreRead: isConfirmed,
    });
  };
  /** Ends an inquiry without a record of its stream. */
  const endWithoutRecord = (inquiry: OpenInquiry): void =>
    end(inquiry, { record: onlyVersion(inquiry), basis: VersionBasis.OnlyVersion });
  /** Returns the record of a stream whose service has had only one version for as long as streams last. */
  const onlyVersion = (inquiry: OpenInquiry): StreamRecord | undefined => {
    const [version] = inquiry.seen;
    if (version === undefined || inquiry.seen.size > 1) return undefined;
    return isCertain(inquiry) ? { kind: "known", service: inquiry.service, version } : undefined;
  };
  const isCertain = ({ isConfirmed, attempt, answeredBy }: OpenInquiry): boolean =>
    // A caller that names no attempt expects only one version, so the present one is enough.
    isConfirmed || (attempt === undefined && answeredBy.size > 0);
  const isFinal = (inquiry: OpenInquiry): boolean => {
    if (inquiry.seen.size > 1) return !expectsAnswers(inquiry);
    // An instance that has just ended doesn't answer; one that is late would only repeat what the store says.
    return isCertain(inquiry) && (!expectsAnswers(inquiry) || inquiry.timesAsked > 1);
  };
  /** Whether an answer of another instance may still come. */
  const expectsAnswers = ({ unanswered, answeredBy }: OpenInquiry): boolean =>
    unanswered.size > 0 ||
    parts.isDiscovering() ||
    (answeredBy.size === 0 && parts.expectsOthers());
  const needsStore = (inquiry: OpenInquiry): boolean =>
    !inquiry.isConfirmed &&
    inquiry.seen.size <= 1 &&
    inquiry.startedAt <= clock.now() - CONFIRMATION_DELAY;
  /** Reads the versions from the store for the inquiries that need it. Those that start meanwhile need another read. */
  const confirm = async (): Promise<void> => {
    const waiting = [...open].filter(needsStore);
    if (isReading || waiting.length === 0) return;
    isReading = true;
    const versions = await parts.readVersions().catch(() => undefined);
    isReading = false;
    for (const inquiry of versions === undefined ? [] : waiting) {
      for (const version of versions?.get(inquiry.service) ?? []) inquiry.seen.add(version);
      inquiry.isConfirmed = true;
      update(inquiry);
    }
    // After a failure, the next question is accompanied by another read.
    if (versions !== undefined) void confirm();
  };
  const update = (inquiry: OpenInquiry): void => {
    const record = recordOf(inquiry);
    const isAmbiguous = inquiry.attempt === undefined && inquiry.seen.size > 1;
    if (record !== undefined) end(inquiry, { record, basis: VersionBasis.OtherRecord });
    else if (isAmbiguous || isFinal(inquiry)) endWithoutRecord(inquiry);
  };
  const ask = (): void => {
    timer = undefined;
    const now = clock.now();
    const addresses = parts.instances();
    const due = [...open].filter(({ askedAt }) => askedAt <= now - REPEAT_INTERVAL);
    for (const inquiry of due) {
      inquiry.askedAt = now;
      inquiry.timesAsked++;
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
    void confirm();
    if (open.size > 0) schedule(nextCheck());
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
  /** Returns when the next inquiry is to be asked again, or has waited long enough for the store to be read. */
  const nextCheck = (): number => {
    const now = clock.now();
    const times = [...open].flatMap(({ askedAt, startedAt }) => [
      askedAt + REPEAT_INTERVAL,
      ...(startedAt + CONFIRMATION_DELAY > now ? [startedAt + CONFIRMATION_DELAY] : []),
    ]);
    return Math.min(...times);
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
        isConfirmed: false,
        startedAt: clock.now(),
        timeout: undefined,
        askedAt: -Infinity,
        timesAsked: 0,
      };
      // After a stall of the process, the answers that have arrived meanwhile are read first.
      opened.timeout = afterRunningTime(
        clock,
        knowsOthers ? INQUIRY_TIMEOUT : DISCOVERY_TIMEOUT,
        () => endWithoutRecord(opened),
        { steps: TIMEOUT_STEPS },
      );
      open.add(opened);
      schedule(clock.now() + QUESTION_DELAY);
      return { close: () => void remove(opened) };
    },
    recordsReceived: () => {
      for (const inquiry of open) update(inquiry);
    },
    answered: ({ question, sender, recent }) => {
      const versionsByService = new Map(recent.map((one) => [one.service, one.versions]));
      const asked = questions.get(question) ?? [];
      questions.delete(question);
      for (const inquiry of asked) {
        const versions = versionsByService.get(inquiry.service);
        if (!open.has(inquiry) || versions === undefined) continue;
        inquiry.unanswered.delete(sender);
        inquiry.answeredBy.add(sender);
        for (const version of versions) inquiry.seen.add(version);
        update(inquiry);
      }
    },
    close: () => {
      timer?.close();
      for (const inquiry of open) remove(inquiry);
    },
  };
}
