import { EngineRequestState } from "../interface/index.ts";
import type { Dispatch } from "../interface/index.ts";

/** A simulated plain service. It echoes requests and counts its runs. */
export interface PlainService {
  /**
   * Runs a request and returns its answer, or undefined if the id is barred. A duplicate gets the
   * same answer without another run.
   */
  run(dispatch: Pick<Dispatch, "id" | "service" | "path" | "body">): string | undefined;
  /**
   * Returns the state of a request, or undefined if its id is unknown here. With `bar`, an unknown
   * id is barred from then on.
   */
  query(id: string, bar: boolean): EngineRequestState | undefined;
}

/** Creates a plain service that has run no requests. */
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
      if (answers.has(id)) return EngineRequestState.Finished;
      if (bar) barred.add(id);
      return undefined;
    },
  };
}
