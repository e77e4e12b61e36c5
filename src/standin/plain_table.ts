import { EngineKnowledge } from "../interface/index.ts";
import type { Dispatch } from "../interface/index.ts";

/** A plain service: it answers with what it was sent, and counts how often it ran each request. */
export interface PlainTable {
  /** Runs a request; undefined where its id is barred. A duplicate is answered but not run again. */
  run(dispatch: Pick<Dispatch, "id" | "service" | "path" | "body">): string | undefined;
  /** What is known of an id; undefined where this service has never heard of it. */
  ask(id: string, bar: boolean): EngineKnowledge | undefined;
}

/** Makes a plain service that has run nothing. */
export function createPlainTable(): PlainTable {
  const answers = new Map<string, string>();
  const barred = new Set<string>();
  let runs = 0;
  return {
    run: ({ id, service, path, body }) => {
      if (barred.has(id)) return undefined;
      const known = answers.get(id);
      if (known !== undefined) return known;
      runs++;
      const answer = JSON.stringify({ service, path, echo: body, run: runs });
      answers.set(id, answer);
      return answer;
    },
    ask: (id, bar) => {
      if (answers.has(id)) return EngineKnowledge.Finished;
      if (bar) barred.add(id);
      return undefined;
    },
  };
}
