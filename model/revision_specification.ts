/**
 * Specification of the revision, which records the preset in force and the changes made by
 * operators. Operators write it concurrently. Instances receive stored versions from watches, reads
 * and peers in any order. The actions call the same functions as the entry instance, so the model
 * checker explores the code that runs in production.
 *
 * @module
 */
import { formatRevision, laterRevision } from "../src/version/index.ts";
import type { Revision } from "../src/version/index.ts";
import type { Specification, Step } from "./checker.ts";

/**
 * The rules of the revision. The model checker can switch each one off to show that it is
 * necessary.
 */
export interface RevisionRules {
  /** An instance replaces its revision only by a later one, whatever source delivers it. */
  readonly laterOnly: boolean;
  /** An operator's write succeeds only if the stored version is the one that the operator read. */
  readonly conditionalWrite: boolean;
  /**
   * After a lost response, an operator looks for its change id in the store before it retries the
   * write.
   */
  readonly changeId: boolean;
}

/** All rules enabled, as in every running instance. */
export const ALL_REVISION_RULES: RevisionRules = {
  laterOnly: true,
  conditionalWrite: true,
  changeId: true,
};

/** An operator who switches once to the preset of the same name. */
interface Operator {
  readonly preset: string;
  /** The revision that the operator read; undefined before the read. */
  readonly readRevision: Revision | undefined;
  /**
   * The result known to the operator: empty while pending, "lost" from a lost response until the
   * store is checked.
   */
  readonly outcome: "" | "lost" | "written" | "conflict";
}

/** An entry instance that applies revisions. */
interface Instance {
  readonly name: string;
  /** The revision in force at this instance; undefined before the first one is received. */
  readonly current: Revision | undefined;
  /** Whether the last update replaced a revision by one with a lower version. */
  readonly hasReverted: boolean;
}

/** The complete state of the model, as plain data. */
export interface RevisionState {
  readonly stored: Revision;
  /**
   * Every revision ever stored. A delayed watch event or a slow peer can still deliver any of them.
   */
  readonly history: readonly Revision[];
  readonly operators: readonly Operator[];
  readonly instances: readonly Instance[];
  /** Number of instance restarts that may still occur. */
  readonly restartsLeft: number;
}

const INITIAL_REVISION = {
  version: 1,
  preset: "day",
  changes: [],
  source: {},
} as unknown as Revision;

/** Creates the specification with two operators, two instances and one instance restart. */
export function revisionSpecification(rules: RevisionRules): Specification<RevisionState> {
  return {
    name: "revision",
    initial: {
      stored: INITIAL_REVISION,
      history: [INITIAL_REVISION],
      operators: ["peak", "maintenance"].map((preset) => ({
        preset,
        readRevision: undefined,
        outcome: "",
      })),
      instances: ["a", "b"].map((name) => ({ name, current: undefined, hasReverted: false })),
      restartsLeft: 1,
    },
    steps: (state) => [
      ...state.operators.flatMap((operator) => operatorSteps(state, operator, rules)),
      ...state.instances.flatMap((instance) => instanceSteps(state, instance, rules)),
    ],
    encode: (state) => JSON.stringify(state),
    invariants: [
      {
        name: "a revision never reverts at any instance",
        holds: ({ instances }) => !instances.some(({ hasReverted }) => hasReverted),
      },
      { name: "exactly one preset is in force at each version", holds: hasOnePresetPerVersion },
      { name: "an accepted change is stored once and kept", holds: areAcceptedChangesKept },
    ],
    isGoal: ({ operators, instances, stored }) =>
      operators.every(({ outcome }) => outcome === "written" || outcome === "conflict") &&
      instances.every(({ current }) => current?.version === stored.version),
  };
}

function hasOnePresetPerVersion({ history, instances }: RevisionState): boolean {
  const revisions = [...history, ...instances.flatMap(({ current }) => current ?? [])];
  return revisions.every((one) =>
    revisions.every((other) => one.version !== other.version || one.preset === other.preset),
  );
}

function areAcceptedChangesKept({ operators, stored, history }: RevisionState): boolean {
  return operators.every(({ preset, outcome }) => {
    const count = history.filter((one) => one.changes[0] === preset).length;
    if (outcome === "conflict") return count === 0;
    return outcome !== "written" || (count === 1 && stored.changes.includes(preset));
  });
}

function operatorSteps(
  state: RevisionState,
  operator: Operator,
  rules: RevisionRules,
): Step<RevisionState>[] {
  const { preset, readRevision, outcome } = operator;
  const withChange = (from: RevisionState, change: Partial<Operator>): RevisionState => ({
    ...from,
    operators: from.operators.map((one) => (one === operator ? { ...one, ...change } : one)),
  });
  const step = (name: string, next: RevisionState, isFault = false): Step<RevisionState> => ({
    name: `${preset}: ${name}`,
    isFault,
    next,
  });
  if (outcome === "lost") {
    const found = rules.changeId && state.stored.changes.includes(preset);
    const next = found
      ? { outcome: "written" as const }
      : { outcome: "" as const, readRevision: undefined };
    return [step("checks whether the write took effect", withChange(state, next))];
  }
  if (outcome !== "") return [];
  if (readRevision === undefined)
    return [step("reads", withChange(state, { readRevision: state.stored }))];
  if (rules.conditionalWrite && readRevision.version !== state.stored.version) {
    return [
      step("detects a conflict and reads again", withChange(state, { readRevision: undefined })),
      step("detects a conflict and gives up", withChange(state, { outcome: "conflict" })),
    ];
  }
  const written = storeChange(state, { readRevision, preset });
  return [
    step("writes", withChange(written, { outcome: "written" })),
    step("writes, but the response is lost", withChange(written, { outcome: "lost" }), true),
  ];
}

/**
 * Stores a change as the next version. Formats the revision as text and parses it again, as the
 * entry instance does.
 */
function storeChange(
  state: RevisionState,
  { readRevision, preset }: { readRevision: Revision; preset: string },
): RevisionState {
  const text = formatRevision({
    source: readRevision.source,
    preset,
    changes: [preset, ...readRevision.changes],
  });
  const stored = { ...(JSON.parse(text) as Revision), version: state.stored.version + 1 };
  return { ...state, stored, history: [...state.history, stored] };
}

function instanceSteps(
  state: RevisionState,
  instance: Instance,
  rules: RevisionRules,
): Step<RevisionState>[] {
  const withChange = (change: Partial<Instance>): RevisionState => ({
    ...state,
    instances: state.instances.map((one) => (one === instance ? { ...one, ...change } : one)),
  });
  const { current } = instance;
  const receiveSteps = state.history.map((received) => {
    const next = rules.laterOnly ? laterRevision(current, received) : received;
    const hasReverted = current !== undefined && next.version < current.version;
    const name = `${instance.name} receives version ${received.version}`;
    return { name, isFault: false, next: withChange({ current: next, hasReverted }) };
  });
  if (state.restartsLeft === 0 || current === undefined) return receiveSteps;
  const restarted = { ...withChange({ current: undefined }), restartsLeft: state.restartsLeft - 1 };
  return [...receiveSteps, { name: `${instance.name} restarts`, isFault: true, next: restarted }];
}
