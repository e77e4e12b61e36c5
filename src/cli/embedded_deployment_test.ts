import OpenAI from "openai";
import { expect, test } from "vitest";
import { startEmbedded } from "./embedded_deployment.ts";
import { accountKeys, ASSOCIATION, documentValue } from "./template/index.ts";

const CLIENT_KEY = "client-key-of-tests";

const SETTINGS = {
  port: 0,
  entryInstances: 3,
  workers: { "entry-model": 1, "finish-desk": 1 },
  zones: ASSOCIATION.zones,
  source: documentValue(ASSOCIATION, accountKeys(ASSOCIATION, { "club-sofia": CLIENT_KEY })),
  preset: "day",
  operatorKey: "operator-key-of-tests",
};

test("the unmodified openai client receives a streamed response with each token once", async () => {
  // Guards against response formats that the client library can't parse, and against lost or repeated tokens.
  const deployment = await startEmbedded(SETTINGS);
  const client = new OpenAI({
    baseURL: `http://${deployment.entries[0]?.self.callerAddress ?? ""}/v1`,
    apiKey: CLIENT_KEY,
  });
  const stream = await client.chat.completions.create({
    model: "finish-desk",
    stream: true,
    max_completion_tokens: 3,
    messages: [{ role: "user", content: "Is chip 9 read?" }],
  });
  let response = "";
  for await (const chunk of stream) response += chunk.choices[0]?.delta.content ?? "";
  await deployment.close();
  expect(response).toBe(" word0 word1 word2");
});
