/**
 * The specification of the revision: operators who race, instances that learn by watches, reads and
 * peers in any order. Its actions call the functions that the entry instance executes.
 *
 * @module
 */
import { formatRevision, laterRevision } from "../src/version/index.ts";
import type { Revision } from "../src/version/index.ts";
import type { Specification, Step } from "./checker.ts";

/** What may be switched off to show that it is needed. */
export interface RevisionRules {
  /** An instance keeps the later revision, whoever says another. */
  readonly laterOnly: boolean;
  /** Operators write on condition of the version they read. */
  readonly conditionalWrite: boolean;
  /** A write whose answer was lost is looked for by its change id before it is tried again. */
  readonly changeId: boolean;
}

/** All rules in force. */
export const ALL_REVISION_RULES: RevisionRules = {
  laterOnly: true,
  conditionalWrite: true,
  changeId: true,
};

/** An operator who switches to the preset of the same name, once. */
interface Operator {
  readonly preset: string;
  /** The revision it read, or undefined before the read. */
  readonly read: Revision | undefined;
  /** What the operator was told, or "lost" before the answer has been looked for. */
  readonly outcome: "" | "lost" | "written" | "conflict";
}

interface Instance {
  readonly name: string;
  readonly inForce: Revision | undefined;
  /** True once it has applied a lower version than before. */
  readonly reverted: boolean;
}

/** Everything, as plain data. */
export interface RevisionState {
  readonly stored: Revision;
  /** Every revision that was ever stored: a late watch or a slow peer may still bring any of them. */
  readonly history: readonly Revision[];
  readonly operators: readonly Operator[];
  readonly instances: readonly Instance[];
  readonly restarts: number;
}

const FIRST = { version: 1, preset: "day", changes: [], source: {} } as unknown as Revision;

/** Two operators and two instances, one of which may start again. */
export function revisionSpecification(rules: RevisionRules): Specification<RevisionState> {
  return {
    name: "revision",
    initial: {
      stored: FIRST,
      history: [FIRST],
      operators: ["peak", "maintenance"].map((preset) => ({
        preset,
        read: undefined,
        outcome: "",
      })),
      instances: ["a", "b"].map((name) => ({ name, inForce: undefined, reverted: false })),
      restarts: 1,
    },
    steps: (state) => [
      ...state.operators.flatMap((operator) => operatorSteps(state, operator, rules)),
      ...state.instances.flatMap((instance) => instanceSteps(state, instance, rules)),
    ],
    encode: (state) => JSON.stringify(state),
    invariants: [
      {
        name: "a revision never reverts at any instance",
        holds: ({ instances }) => !instances.some(({ reverted }) => reverted),
      },
      { name: "exactly one preset is in force at each version", holds: onePresetAVersion },
      { name: "an accepted change is in what follows, once", holds: acceptedOnce },
    ],
    goal: ({ operators, instances, stored }) =>
      operators.every(({ outcome }) => outcome === "written" || outcome === "conflict") &&
      instances.every(({ inForce }) => inForce?.version === stored.version),
  };
}

function onePresetAVersion({ history, instances }: RevisionState): boolean {
  const seen = [...history, ...instances.flatMap(({ inForce }) => inForce ?? [])];
  return seen.every((one) =>
    seen.every((other) => one.version !== other.version || one.preset === other.preset),
  );
}

function acceptedOnce({ operators, stored, history }: RevisionState): boolean {
  return operators.every(({ preset, outcome }) => {
    const times = history.filter((one) => one.changes[0] === preset).length;
    if (outcome === "conflict") return times === 0;
    return outcome !== "written" || (times === 1 && stored.changes.includes(preset));
  });
}

function operatorSteps(
  state: RevisionState,
  operator: Operator,
  rules: RevisionRules,
): Step<RevisionState>[] {
  const { preset, read, outcome } = operator;
  const become = (from: RevisionState, change: Partial<Operator>): RevisionState => ({
    ...from,
    operators: from.operators.map((one) => (one === operator ? { ...one, ...change } : one)),
  });
  const step = (name: string, next: RevisionState, fault = false): Step<RevisionState> => ({
    name: `${preset}: ${name}`,
    fault,
    next,
  });
  if (outcome === "lost") {
    const found = rules.changeId && state.stored.changes.includes(preset);
    const next = found
      ? { outcome: "written" as const }
      : { outcome: "" as const, read: undefined };
    return [step("reads back", become(state, next))];
  }
  if (outcome !== "") return [];
  if (read === undefined) return [step("reads", become(state, { read: state.stored }))];
  if (rules.conditionalWrite && read.version !== state.stored.version) {
    return [
      step("meets a conflict and reads again", become(state, { read: undefined })),
      step("meets a conflict and gives up", become(state, { outcome: "conflict" })),
    ];
  }
  const written = withChange(state, { read, preset });
  return [
    step("writes", become(written, { outcome: "written" })),
    step("writes, the answer is lost", become(written, { outcome: "lost" }), true),
  ];
}

/** The store's next version, by way of the text that it holds. */
function withChange(
  state: RevisionState,
  { read, preset }: { read: Revision; preset: string },
): RevisionState {
  const text = formatRevision({ source: read.source, preset, changes: [preset, ...read.changes] });
  const stored = { ...(JSON.parse(text) as Revision), version: state.stored.version + 1 };
  return { ...state, stored, history: [...state.history, stored] };
}

function instanceSteps(
  state: RevisionState,
  instance: Instance,
  rules: RevisionRules,
): Step<RevisionState>[] {
  const become = (change: Partial<Instance>): RevisionState => ({
    ...state,
    instances: state.instances.map((one) => (one === instance ? { ...one, ...change } : one)),
  });
  const { inForce } = instance;
  const hear = state.history.map((heard) => {
    const next = rules.laterOnly ? laterRevision(inForce, heard) : heard;
    const reverted = inForce !== undefined && next.version < inForce.version;
    const name = `${instance.name} hears version ${heard.version}`;
    return { name, fault: false, next: become({ inForce: next, reverted }) };
  });
  if (state.restarts === 0 || inForce === undefined) return hear;
  const restarted = { ...become({ inForce: undefined }), restarts: state.restarts - 1 };
  return [...hear, { name: `${instance.name} starts again`, fault: true, next: restarted }];
}
