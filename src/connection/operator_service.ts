import type { Change, ChangeOutcome } from "../version/index.ts";
import type { RequestMessage, ServicesMessage, StatusMessage } from "./operator_messages.ts";

/** The operations that an entry instance provides to the routes for operators. */
export interface OperatorService {
  /** Applies a configuration change; `base` is the revision it is based on, by default the one in force. */
  applyChange(change: Change, base?: number): Promise<ChangeOutcome>;
  /** Returns the outcome of a change whose response was lost, by the id of the change. */
  getChangeOutcome(id: string): Promise<ChangeOutcome>;
  /** Waits until all live instances have the revision in force; resolves to false on timeout. */
  waitUntilInForce(revision: number): Promise<boolean>;
  /** Returns the state of all instances and slots. */
  status(): Promise<StatusMessage>;
  /** Returns the services and presets of the deployment in force. */
  services(): ServicesMessage;
  /** Starts a planned stop of this instance. */
  drain(): void;
  /** Finds a request of any account; undefined if no instance that responds has it. */
  findRequest(id: string): Promise<RequestMessage | undefined>;
  /** Returns all counters and histograms in the Prometheus text format. */
  metrics(): string;
}
