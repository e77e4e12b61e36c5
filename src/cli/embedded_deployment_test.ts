import OpenAI from "openai";
import { expect, test } from "vitest";
import { startEmbeddedDeployment } from "./embedded_deployment.ts";
import { createAccountKeys, ASSOCIATION_TEMPLATE, createDocumentValue } from "./template/index.ts";

const CLIENT_KEY = "client-key-of-tests";

const SETTINGS = {
  port: 0,
  entryInstanceCount: 3,
  workerCounts: { "entry-model": 1, "finish-desk": 1 },
  zones: ASSOCIATION_TEMPLATE.zones,
  document: createDocumentValue(
    ASSOCIATION_TEMPLATE,
    createAccountKeys(ASSOCIATION_TEMPLATE, { "club-sofia": CLIENT_KEY }),
  ),
  preset: "day",
  operatorKey: "operator-key-of-tests",
};

test("the unmodified openai client receives a streamed response with each token once", async () => {
  // Guards against response formats that the client library can't parse, and against lost or repeated tokens.
  const deployment = await startEmbeddedDeployment(SETTINGS);
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
