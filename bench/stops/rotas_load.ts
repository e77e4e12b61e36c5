/**
 * Draws the requests of the row `rotas`.
 *
 * @module
 */
import type { Random } from "../../src/interface/index.ts";
import { ENGINE, ROTA_ACCOUNTS, ROTA_ROUTES } from "./rotas_site.ts";
import type { RotaAccount, RotaRouteSpec, Size, StreamSizes } from "./rotas_site.ts";

/** A request to send. */
export interface RotaRequest {
  readonly route: RotaRouteSpec;
  readonly account: RotaAccount;
  readonly bodyBytes: number;
  /** Events of the answer; 0 if it isn't a stream. */
  readonly events: number;
  /** Values of `X-Token-Usage` and `X-Prompt-Prefix`; undefined for plain requests. */
  readonly usage: string | undefined;
  readonly prefix: string | undefined;
  readonly promptTokens: number;
}

/** Draws a value of a log-normal distribution. */
export function drawSize(random: Random, { mean, spread, max }: Size): number {
  if (mean === 0) return 0;
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  const value = mean * Math.exp(spread * normal - spread ** 2 / 2);
  return Math.max(1, Math.round(Math.min(Math.floor(max), value)));
}

/** Draws one of the values by their weights. */
export function drawWeighted<T>(
  random: Random,
  values: readonly T[],
  weightOf: (value: T) => number,
): T {
  let rest = random.next() * values.reduce((sum, value) => sum + weightOf(value), 0);
  for (const value of values) {
    rest -= weightOf(value);
    if (rest < 0) return value;
  }
  return lastOf(values);
}

function lastOf<T>(values: readonly T[]): T {
  const last = values.at(-1);
  if (last === undefined) throw new Error("cannot draw from an empty list");
  return last;
}

/** Draws a request of a route; by default, of a route by the weights of all. */
export function drawRequest(
  random: Random,
  route: RotaRouteSpec = drawWeighted(random, ROTA_ROUTES, ({ weight }) => weight),
): RotaRequest {
  const account = drawWeighted(random, ROTA_ACCOUNTS, ({ share }) => share);
  const { stream } = route;
  if (stream === undefined) {
    const bodyBytes = drawSize(random, route.bodyBytes);
    const none = { usage: undefined, prefix: undefined, promptTokens: 0 };
    return { route, account, bodyBytes, events: 0, ...none };
  }
  const parts = drawParts(random, route.name, stream);
  const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
  const events = drawSize(random, stream.events);
  return {
    route,
    account,
    bodyBytes: Math.min(route.bodyBytes.max, promptTokens),
    events,
    usage: `${promptTokens},${events * ENGINE.tokensPerEvent}`,
    prefix: parts.map(({ id, tokens }) => `${id}:${tokens}`).join(","),
    promptTokens,
  };
}

interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

function drawParts(
  random: Random,
  route: string,
  { shared, ownTokens }: StreamSizes,
): PromptPart[] {
  const sharedParts = shared.map(({ tokens, count }, index) => {
    const number = Math.floor(random.next() * count);
    const name = `${route} ${index} ${number}`;
    // The tokens of a shared part are the same whenever it is drawn.
    const hash = hashOf(name);
    return { id: hash.toString(16), tokens: drawSize(sequenceFrom(hash), tokens) };
  });
  const own = Math.floor(random.next() * 0xffff_ffff).toString(16);
  return [...sharedParts, { id: own, tokens: drawSize(random, ownTokens) }];
}

/** FNV-1a hash of a text, 32 bits. */
function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (const character of text) {
    hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193) >>> 0;
  }
  return hash;
}

/** Returns numbers of a linear congruential generator. */
function sequenceFrom(seed: number): Random {
  let state = seed;
  return {
    next: () => {
      state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
      return state / 2 ** 32;
    },
  };
}
