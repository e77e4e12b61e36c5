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
  /** Prompt and answer tokens that only this worker has computed; all of them where it isn't known. */
  readonly cacheTokens?: number;
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
  /** All workers of the service under notice or leaving, to see a wave; only this one where not given. */
  readonly underNotice?: readonly Worker[];
  /** Tokens of KV cache free on each target, by worker id; unbounded where not given. */
  readonly room?: ReadonlyMap<string, number>;
  /** Exports by other workers that share the transfer rate; 0 where not given. */
  readonly otherExports?: number;
}

/** The choice for one request. */
export interface Triage {
  readonly id: string;
  readonly choice: TriageChoice;
  /** Where it goes, for an export and a move; absent where the placement decides when it moves. */
  readonly target?: string;
  /** When it is to begin: an export's turn, or the last moment of a late resume. */
  readonly at?: number;
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
