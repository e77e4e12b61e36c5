import type { Worker } from "../interface/index.ts";

/** What becomes of a request whose worker is under notice. */
export enum TriageChoice {
  /** It ends before the instance is taken. */
  Finish = "finish",
  /** Its KV cache is exported and imported elsewhere. */
  ExportCache = "export-cache",
  /** It runs until shortly before the end, then resumes elsewhere from its tokens. */
  ResumeLate = "resume-late",
  /** It resumes elsewhere at once. */
  ResumeNow = "resume-now",
  /** It can't be moved and may not be repeated: it stays and is asked after. */
  Stay = "stay",
}

/** A request in progress on a worker under notice. Times in milliseconds. */
export interface Endangered {
  readonly id: string;
  readonly repeatable: boolean;
  readonly promptTokens: number;
  readonly producedTokens: number;
  /** Expected tokens still to come. */
  readonly remainingTokens: number;
  /** Milliseconds a token at the worker's present pace. */
  readonly tokenTime: number;
  readonly deadlineAt: number;
}

/** What triage knows of a worker under notice. */
export interface TriageView {
  readonly now: number;
  /** When the instance is taken, in the clock's milliseconds. */
  readonly reclaimAt: number;
  /** KV cache bytes a second that the instance can send. */
  readonly transferRate: number;
  /** Bytes of KV cache a token. */
  readonly bytesPerToken: number;
  /** Workers that could take what moves. */
  readonly targets: readonly Worker[];
  /** Prompt tokens a second at which a target computes anew what wasn't moved. */
  readonly prefillPerSecond: number;
}

/** The choice for one request. */
export interface Triage {
  readonly id: string;
  readonly choice: TriageChoice;
}

/** Chooses for each request in progress on a worker under notice. */
export function triage(requests: readonly Endangered[], view: TriageView): Triage[] {
  const left = view.reclaimAt - view.now;
  return requests.map((request) => {
    const finishes = request.remainingTokens * request.tokenTime < left;
    const otherwise = request.repeatable ? TriageChoice.ResumeNow : TriageChoice.Stay;
    return { id: request.id, choice: finishes ? TriageChoice.Finish : otherwise };
  });
}
