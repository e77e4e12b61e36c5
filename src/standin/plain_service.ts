import { EngineKnowledge } from "../interface/index.ts";
import type { Dispatch } from "../interface/index.ts";

/** A plain service: it answers with what it was sent, and counts how often it ran each request. */
export interface PlainService {
  /** Runs a request; undefined where its id is barred. A duplicate is answered but not run again. */
  run(dispatch: Pick<Dispatch, "id" | "service" | "path" | "body">): string | undefined;
  /** What is known of an id; undefined where this service has never heard of it. */
  query(id: string, bar: boolean): EngineKnowledge | undefined;
}

/** Makes a plain service that has run nothing. */
export function createPlainService(): PlainService {
  const answers = new Map<string, string>();
  const barred = new Set<string>();
  let runCount = 0;
  return {
    run: ({ id, service, path, body }) => {
      if (barred.has(id)) return undefined;
      const previous = answers.get(id);
      if (previous !== undefined) return previous;
      runCount++;
      const answer = JSON.stringify({ service, path, echo: body, run: runCount });
      answers.set(id, answer);
      return answer;
    },
    query: (id, bar) => {
      if (answers.has(id)) return EngineKnowledge.Finished;
      if (bar) barred.add(id);
      return undefined;
    },
  };
}
