import type { Change, ChangeOutcome } from "../version/index.ts";
import type { RequestMessage, ServicesMessage, StatusMessage } from "./operator_messages.ts";

/** What the routes of operators ask of the entry instance behind them. */
export interface OperatorService {
  /** Puts a change in force; `base` is the revision that it began from. */
  apply(change: Change, base?: number): Promise<ChangeOutcome>;
  /** What became of a change whose answer was lost. */
  ask(id: string): Promise<ChangeOutcome>;
  /** Waits until every live instance has the revision in force; false where one hasn't in time. */
  everywhere(revision: number): Promise<boolean>;
  status(): Promise<StatusMessage>;
  services(): ServicesMessage;
  /** Begins a planned stop of this instance. */
  drain(): void;
  /** A request of any account; undefined where no owner knows it. */
  request(id: string): Promise<RequestMessage | undefined>;
  /** All counts and histograms as text. */
  metrics(): string;
}
