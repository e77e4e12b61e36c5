/** SHA-256 of the API key that all accounts of the traces share. */
const KEY_SHA256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/**
 * Creates a client account for the given services, with limits that the traces' usual load doesn't
 * reach.
 */
export function createAccount(weight: number, services: readonly string[]): object {
  return { keySha256: KEY_SHA256, weight, maxRequests: 400, maxTokens: 800_000, services };
}

/** A slow machine class. Its low token rate keeps a dozen workers busy with short traces. */
export const STANDARD_MACHINE_CLASS = {
  tokensPerSecond: 225,
  prefillPerSecond: 4_000,
  cacheTokens: 40_000,
  startUp: "40 s",
} as const;

/**
 * Creates a model service with a latency target of 44 ms between tokens, which suits callers that
 * wait for the answer.
 */
export function createModelService(
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

/** Sine wave between 0.8 and 1.2 over the duration. */
export function dailyVariation(progress: number): number {
  return 1 + 0.2 * Math.sin(2 * Math.PI * progress);
}

/**
 * Raised cosine with its maximum of 1 at `center`. It is 0 at a distance of 0.3 of the duration or
 * more.
 */
export function raisedCosine(progress: number, center: number): number {
  const distance = Math.abs(progress - center) / 0.3;
  return distance >= 1 ? 0 : 0.5 + 0.5 * Math.cos(Math.PI * distance);
}
