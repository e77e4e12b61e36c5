/**
 * Estimates how long an answer takes beyond the expected time to its first token.
 *
 * Load: an instance that is stopping still gets requests from callers that don't know it yet. Accepted
 * whatever time they need, long streams are cut at the end of the stop although another instance could
 * have served them whole. Refused altogether, short ones would wait for another connection in vain.
 *
 * Mechanism: a line is fitted to the durations and output tokens of a route's latest answers. The estimate
 * is a duration on this line plus two mean deviations from it. Answers whose callers declare no output
 * tokens are estimated by their mean duration in the same way. Until an instance has served some answers of a
 * route, the pace that the other instances know applies.
 *
 * @module
 */
import { createAnswerPace } from "./answer_pace.ts";
import type { AnswerPace } from "./answer_pace.ts";

/** The size of an answer, and the part of it that its caller has. */
export interface AnswerExtent {
  /** Maximum number of output tokens that the caller declared; undefined if it declared none. */
  readonly outputTokens: number | undefined;
  /** Number of the last event that the caller has; undefined if it has none or they aren't numbered. */
  readonly lastEvent: number | undefined;
}

/** A complete answer to a request. */
export interface AnswerDuration extends AnswerExtent {
  /** Milliseconds from the time at which the first token was expected to the end; negative if it ended before. */
  readonly duration: number;
}

/** An answer that was ended before it was complete. */
export type UnfinishedAnswer = Omit<AnswerDuration, "lastEvent">;

/** The route of an answer, and the service that produces it. */
export interface AnswerOrigin {
  readonly route: string;
  readonly service: string;
}

/** How long the answers of each route take. */
export interface AnswerTimes {
  /** Records an answer that was produced as a whole for one request. */
  record(origin: AnswerOrigin, answer: AnswerDuration): void;
  /** Records an answer that was ended after this time. It counts only if it took longer than expected until then. */
  recordUnfinished(origin: AnswerOrigin, answer: UnfinishedAnswer): void;
  /**
   * Returns the milliseconds that the rest of an answer takes from the time at which its first token is
   * expected; undefined until a similar answer of the route or, failing that, of the service was recorded.
   */
  expected(origin: AnswerOrigin, known: AnswerExtent): number | undefined;
  /** Forgets the answers of all routes and services except those with the given names. */
  retain(names: AnswerNames): void;
}

/** Names of routes and services. */
export interface AnswerNames {
  readonly routes: ReadonlySet<string>;
  readonly services: ReadonlySet<string>;
}

/** Moving averages over the answers of a route or service. The size of an answer is its output tokens, or 1 if none are declared. */
interface RouteAverages {
  /** Number of answers. */
  readonly count: number;
  readonly size: number;
  readonly sizeSquared: number;
  /** In milliseconds, as the two below. */
  readonly duration: number;
  readonly sizeTimesDuration: number;
  /** Deviation of the durations from what was expected of them; 0 until the second answer. */
  readonly deviation: number;
  /** Deviation that is assumed while there are few answers. */
  readonly assumedDeviation: number;
  /** Number of events for a unit of size; undefined if no events were numbered. */
  readonly eventRate: number | undefined;
}

/** Weight of the latest answer in the moving averages; higher for the first answers, which count equally. */
const MIN_WEIGHT = 1 / 8;
/** Number of answers from which their deviations alone are sufficient. */
const ENOUGH_ANSWERS = 8;
/** Number of mean deviations above the expected time, so that few answers take longer. */
const DEVIATIONS = 2;
/** Variance of the sizes, as a fraction of their mean square, below which they say nothing about the time for a token. */
const MIN_SIZE_VARIANCE = 0.01;

/**
 * Creates the estimates without any answers.
 *
 * @param pace What all instances know of the services' answers. It applies until this instance knows those of a route.
 */
export function createAnswerTimes(
  pace: Pick<AnswerPace, "expected" | "record"> = createAnswerPace(),
): AnswerTimes {
  const ofRoutes = createOriginAverages();
  const ofServices = createOriginAverages();
  return {
    record: ({ route, service }, answer) => {
      const averages = ofRoutes.add(route, answer);
      ofServices.add(service, answer);
      if (answer.outputTokens === undefined) return;
      const time = expectedWhole(averages, sizeOf(answer)) + DEVIATIONS * averages.deviation;
      pace.record(service, { outputTokens: sizeOf(answer), time });
    },
    recordUnfinished: ({ route, service }, { outputTokens, duration }) => {
      const answer = { outputTokens, duration, lastEvent: undefined };
      for (const [known, name] of [
        [ofRoutes, route],
        [ofServices, service],
      ] as const) {
        const before = known.get(name, answer);
        const isLonger = before === undefined || duration > expectedWhole(before, sizeOf(answer));
        if (isLonger) known.add(name, answer);
      }
    },
    expected: ({ route, service }, rest) => {
      const ofRoute = ofRoutes.get(route, rest);
      if (ofRoute !== undefined && ofRoute.count >= ENOUGH_ANSWERS)
        return expectedTime(ofRoute, rest);
      const isSized = rest.outputTokens !== undefined;
      const others = isSized ? pace.expected(service, sizeOf(rest)) : undefined;
      if (others !== undefined) return others;
      const averages = ofRoute ?? ofServices.get(service, rest);
      return averages === undefined ? undefined : expectedTime(averages, rest);
    },
    retain: ({ routes, services }) => {
      ofRoutes.retain(routes);
      ofServices.retain(services);
    },
  };
}

/** The averages of all routes, or of all services, by name. Answers with declared output tokens count apart. */
interface OriginAverages {
  get(name: string, answer: Pick<AnswerExtent, "outputTokens">): RouteAverages | undefined;
  /** Adds an answer and returns the averages that contain it. */
  add(name: string, answer: AnswerDuration): RouteAverages;
  retain(names: ReadonlySet<string>): void;
}

function createOriginAverages(): OriginAverages {
  const sized = new Map<string, RouteAverages>();
  const unsized = new Map<string, RouteAverages>();
  const mapFor = ({ outputTokens }: Pick<AnswerExtent, "outputTokens">): typeof sized =>
    outputTokens === undefined ? unsized : sized;
  return {
    get: (name, answer) => mapFor(answer).get(name),
    add: (name, answer) => {
      const averages = average(mapFor(answer).get(name), answer);
      mapFor(answer).set(name, averages);
      return averages;
    },
    retain: (names) => {
      for (const known of [sized, unsized])
        for (const name of known.keys()) if (!names.has(name)) known.delete(name);
    },
  };
}

function expectedTime(averages: RouteAverages, rest: AnswerExtent): number {
  const whole = Math.max(0, expectedWhole(averages, sizeOf(rest)));
  return whole * fractionLeft(rest, averages.eventRate) + DEVIATIONS * expectedDeviation(averages);
}

function sizeOf({ outputTokens = 1 }: Pick<AnswerExtent, "outputTokens">): number {
  return Math.max(1, outputTokens);
}

function average(before: RouteAverages | undefined, answer: AnswerDuration): RouteAverages {
  const size = sizeOf(answer);
  const { duration } = answer;
  const eventRate = answer.lastEvent === undefined ? undefined : answer.lastEvent / size;
  const sums = { size, sizeSquared: size ** 2, duration, sizeTimesDuration: size * duration };
  // One answer says little about the next, so its deviation is assumed, as for retransmission timeouts (RFC 6298).
  const assumedDeviation = Math.abs(duration) / 2;
  if (before === undefined) return { count: 1, ...sums, deviation: 0, assumedDeviation, eventRate };
  const count = before.count + 1;
  const weight = Math.max(MIN_WEIGHT, 1 / count);
  const moved = (from: number, to: number): number => from + (to - from) * weight;
  const deviation = Math.abs(duration - expectedWhole(before, size));
  const deviationWeight = Math.max(MIN_WEIGHT, 1 / (count - 1));
  const rates = [before.eventRate, eventRate].filter((rate) => rate !== undefined);
  return {
    count,
    size: moved(before.size, size),
    sizeSquared: moved(before.sizeSquared, sums.sizeSquared),
    duration: moved(before.duration, duration),
    sizeTimesDuration: moved(before.sizeTimesDuration, sums.sizeTimesDuration),
    deviation: before.deviation + (deviation - before.deviation) * deviationWeight,
    assumedDeviation: before.assumedDeviation,
    eventRate: rates.length === 0 ? undefined : rates.reduce(moved),
  };
}

function expectedDeviation({ count, deviation, assumedDeviation }: RouteAverages): number {
  if (count >= ENOUGH_ANSWERS) return deviation;
  return deviation + (assumedDeviation - deviation) / count;
}

/** Returns the duration of a whole answer on the line that fits the recorded ones best. */
function expectedWhole(averages: RouteAverages, size: number): number {
  const { size: meanSize, duration: meanDuration, sizeSquared, sizeTimesDuration } = averages;
  const variance = sizeSquared - meanSize ** 2;
  const isVaried = variance > MIN_SIZE_VARIANCE * sizeSquared;
  const slope = isVaried ? (sizeTimesDuration - meanSize * meanDuration) / variance : 0;
  // More tokens don't take less time: answers that end before their declared maximum only look like it.
  const pace = slope > 0 ? slope : meanDuration / meanSize;
  return meanDuration + pace * (size - meanSize);
}

/** Returns the fraction of the answer that its caller doesn't have yet. */
function fractionLeft(
  { outputTokens, lastEvent }: AnswerExtent,
  eventRate: number | undefined,
): number {
  if (lastEvent === undefined || eventRate === undefined || eventRate === 0) return 1;
  const events = eventRate * sizeOf({ outputTokens });
  // Beyond the usual number, nothing is known of how many are left.
  return lastEvent < events ? 1 - lastEvent / events : 1;
}
