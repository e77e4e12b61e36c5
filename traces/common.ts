const KEY = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/** A client account that may use the given services, with bounds that an ordinary day doesn't reach. */
export function accountOf(weight: number, services: readonly string[]): object {
  return { keySha256: KEY, weight, maxRequests: 400, maxTokens: 800_000, services };
}

/** A small machine class: with few tokens a second, a dozen workers are busy with short traces. */
export const STANDARD = {
  tokensPerSecond: 225,
  prefillPerSecond: 4_000,
  cacheTokens: 40_000,
  startUp: "40 s",
} as const;

/** A model service that generates for people who wait. */
export function modelService(
  model: { name: string; weights: number },
  fields: { checksFence: boolean; lane: "lookup" | "script"; firstToken: string; deadline: string },
): object {
  const { checksFence, lane, firstToken, deadline } = fields;
  return {
    kind: "model",
    models: [{ ...model, version: "1", adapters: [] }],
    repeatable: true,
    checksFence,
    lane,
    target: { firstToken, betweenTokens: "44 ms", deadline },
  };
}

/** The day's gentle rise and fall. */
export function swell(part: number): number {
  return 1 + 0.2 * Math.sin(2 * Math.PI * part);
}

/** Rises from 0 to 1 at `top` and falls again, over three tenths of the duration to each side. */
export function hill(part: number, top: number): number {
  const distance = Math.abs(part - top) / 0.3;
  return distance >= 1 ? 0 : 0.5 + 0.5 * Math.cos(Math.PI * distance);
}
