import type { Command } from "@oclif/core";
import { changeOutcomeMessage } from "../connection/index.ts";
import type { ChangeOutcomeMessage } from "../connection/index.ts";
import { callOperator, createChangeId } from "./operator_client.ts";
import type { OperatorFlags } from "./operator_client.ts";

/** Exit codes of the commands that change the configuration, one for each outcome. */
export enum ChangeExitCode {
  Accepted = 0,
  Refused = 1,
  Conflict = 3,
  Unknown = 4,
}

/** A configuration change to request from an entry instance. */
export interface ChangeRequest {
  /** URL path of the operators' route. */
  readonly path: string;
  /** JSON body without the change id. */
  readonly body: object;
  /** Whether to wait until the change is in force on every live entry instance. */
  readonly wait: boolean;
}

/** Timeout of a change with `--wait`, in milliseconds. */
const CHANGE_TIMEOUT = 30_000;

/**
 * Requests a change, prints its outcome and sets the exit code.
 *
 * The command generates the change id itself. If the response is lost, the outcome is reported as
 * "not known", and the operator can look it up later by this id.
 *
 * @returns The outcome, which `--json` prints.
 */
export async function requestChange(
  command: Command,
  flags: OperatorFlags,
  { path, body, wait }: ChangeRequest,
): Promise<ChangeOutcomeMessage> {
  const change = createChangeId();
  const result = await callOperator(command, flags, {
    method: "PUT",
    path: wait ? `${path}?wait=1` : path,
    body: { ...body, change },
    schema: changeOutcomeMessage,
    ...(wait ? { timeout: CHANGE_TIMEOUT } : {}),
  });
  const outcome = toChangeOutcome(result, change);
  printOutcome(command, outcome);
  return outcome;
}

function toChangeOutcome(
  result: Awaited<ReturnType<typeof callOperator<ChangeOutcomeMessage>>>,
  change: string,
): ChangeOutcomeMessage {
  switch (result.kind) {
    case "answered":
      return result.value;
    case "turned-away":
    case "not-sent":
      return { kind: "refused", change, reasons: [result.detail] };
    case "lost":
      return { kind: "unknown", change, detail: result.detail };
  }
}

/** Prints a change's outcome and sets the exit code. */
export function printOutcome(command: Command, outcome: ChangeOutcomeMessage): void {
  switch (outcome.kind) {
    case "accepted":
      command.log(`accepted: in force from revision ${outcome.revision}${formatReach(outcome)}`);
      process.exitCode = ChangeExitCode.Accepted;
      break;
    case "refused":
      command.log(`refused: ${outcome.reasons.join("\n         ")}`);
      process.exitCode = ChangeExitCode.Refused;
      break;
    case "conflict":
      command.log(`conflict with revision ${outcome.revision}; nothing was changed:`);
      for (const { path, ours, theirs } of outcome.conflicts) {
        command.log(
          `  ${path}\n    yours:  ${formatValue(ours)}\n    theirs: ${formatValue(theirs)}`,
        );
      }
      process.exitCode = ChangeExitCode.Conflict;
      break;
    case "unknown":
      command.log(`not known: ${outcome.detail}`);
      command.log(`look up the outcome later with: samphireshore change ${outcome.change}`);
      process.exitCode = ChangeExitCode.Unknown;
      break;
  }
}

function formatReach({ everywhere }: { everywhere?: boolean | undefined }): string {
  if (everywhere === undefined) return "";
  return everywhere ? ", on every live entry instance" : ", not yet on every live entry instance";
}

function formatValue(value: unknown): string {
  return value === undefined ? "(absent)" : JSON.stringify(value);
}
