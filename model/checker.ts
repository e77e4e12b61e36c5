/**
 * An explicit-state model checker. It visits every state that a specification can reach, in
 * breadth-first order, so the trace to the first violation is a shortest one. Afterward it checks
 * that every state can reach a goal state without further faults.
 *
 * @module
 */
import xxhash from "xxhash-wasm";

/** A transition to a next state. */
export interface Step<State> {
  /** Description of the event, as printed in a trace. */
  readonly name: string;
  /** Whether the event is a fault. The progress check ignores faults. */
  readonly isFault: boolean;
  readonly next: State;
}

/** A property that every reachable state of a correct protocol has. */
export interface Invariant<State> {
  /** Name of the property, as reported in a violation. */
  readonly name: string;
  /** Whether the state has the property. */
  readonly holds: (state: State) => boolean;
}

/** A state machine to explore. */
export interface Specification<State> {
  readonly name: string;
  readonly initial: State;
  /** Returns all transitions from a state. */
  readonly steps: (state: State) => readonly Step<State>[];
  /** Encodes a state. Two states have the same encoding if and only if they are equal. */
  readonly encode: (state: State) => string;
  readonly invariants: readonly Invariant<State>[];
  /**
   * Whether the state is a goal. A goal must be reachable from every state without further faults.
   */
  readonly isGoal: (state: State) => boolean;
}

/** A violated property and the steps that lead to the violation. */
export interface Violation {
  readonly invariant: string;
  /** Names of the steps from the initial state, in order. */
  readonly trace: readonly string[];
}

/** The result of an exploration. */
export interface Exploration {
  /** Name of the specification. */
  readonly specification: string;
  /** Number of distinct states visited. */
  readonly states: number;
  readonly transitions: number;
  /** Number of breadth-first levels after the initial state. */
  readonly depth: number;
  /** False if the limit on states or an invariant violation stopped the exploration early. */
  readonly complete: boolean;
  readonly violations: readonly Violation[];
}

/** Limits of an exploration. */
export interface ExplorationLimits {
  /** Number of states after which the exploration stops. */
  readonly maxStates: number;
}

/** Name reported for a state from which no goal is reachable without further faults. */
export const PROGRESS_PROPERTY =
  "progress: every accepted request can end once the faults have ended";

/** Keeps the low 53 bits of a 64-bit hash, which a number represents exactly. */
const HASH_MASK = 2n ** 53n - 1n;

/** The visited states, indexed by number in the order of discovery. */
interface StateGraph {
  /** For each state, the state from which it was first reached; -1 for the initial state. */
  readonly parents: number[];
  /** For each state, the name of the step by which it was first reached. */
  readonly stepNames: string[];
  /** For each state, whether it is a goal. */
  readonly goalFlags: boolean[];
  /** Fault-free transitions as a flat list of source and target numbers. */
  readonly edges: number[];
  depth: number;
  transitions: number;
}

/**
 * Explores a specification.
 *
 * States are distinguished by 53 bits of a hash. With a million states, the probability that two of
 * them collide is about 1 in 20,000. A collision can hide a violation but can't cause a false one.
 *
 * @returns The size of the explored state space, and the first invariant violation, or else the
 * first progress violation.
 */
export async function explore<State>(
  specification: Specification<State>,
  limits: ExplorationLimits,
): Promise<Exploration> {
  const hasher = await xxhash();
  const hash = (state: State): number =>
    Number(hasher.h64(specification.encode(state)) & HASH_MASK);
  const graph: StateGraph = {
    parents: [],
    stepNames: [],
    goalFlags: [],
    edges: [],
    depth: 0,
    transitions: 0,
  };
  const numberByHash = new Map<number, number>();
  const add = (state: State, { parent, name }: { parent: number; name: string }): number => {
    const number = graph.parents.push(parent) - 1;
    numberByHash.set(hash(state), number);
    graph.stepNames.push(name);
    graph.goalFlags.push(specification.isGoal(state));
    return number;
  };
  const findViolated = (state: State): Invariant<State> | undefined =>
    specification.invariants.find(({ holds }) => !holds(state));
  const result = (complete: boolean, violations: readonly Violation[]): Exploration => ({
    specification: specification.name,
    states: graph.parents.length,
    transitions: graph.transitions,
    depth: graph.depth,
    complete,
    violations,
  });

  add(specification.initial, { parent: -1, name: "start" });
  let frontier = [{ number: 0, state: specification.initial }];
  while (frontier.length > 0) {
    const nextFrontier: typeof frontier = [];
    for (const { number, state } of frontier) {
      for (const { name, isFault, next } of specification.steps(state)) {
        graph.transitions++;
        const known = numberByHash.get(hash(next));
        const target = known ?? add(next, { parent: number, name });
        if (!isFault) graph.edges.push(number, target);
        if (known !== undefined) continue;
        const invariant = findViolated(next);
        if (invariant !== undefined) {
          return result(false, [{ invariant: invariant.name, trace: traceTo(graph, target) }]);
        }
        nextFrontier.push({ number: target, state: next });
      }
      if (graph.parents.length > limits.maxStates) return result(false, []);
    }
    if (nextFrontier.length > 0) graph.depth++;
    frontier = nextFrontier;
  }
  return result(true, findStuckState(graph));
}

/** Returns the names of the steps by which a state was first reached. */
function traceTo(graph: StateGraph, target: number): string[] {
  const trace: string[] = [];
  for (let at = target; at > 0; at = graph.parents[at] ?? 0)
    trace.unshift(graph.stepNames[at] ?? "");
  return trace;
}

/**
 * Finds the first state from which no goal is reachable without faults, by a backward search from
 * all goals.
 */
function findStuckState(graph: StateGraph): Violation[] {
  const predecessorLists = predecessors(graph);
  const canReachGoal = new Uint8Array(graph.parents.length);
  const queue: number[] = [];
  graph.goalFlags.forEach((isGoal, number) => {
    if (!isGoal) return;
    canReachGoal[number] = 1;
    queue.push(number);
  });
  for (let number = queue.pop(); number !== undefined; number = queue.pop()) {
    for (
      let at = predecessorLists.first[number] ?? 0;
      at < (predecessorLists.first[number + 1] ?? 0);
      at++
    ) {
      const from = predecessorLists.sources[at] ?? 0;
      if (canReachGoal[from] === 1) continue;
      canReachGoal[from] = 1;
      queue.push(from);
    }
  }
  const first = canReachGoal.indexOf(0);
  return first < 0 ? [] : [{ invariant: PROGRESS_PROPERTY, trace: traceTo(graph, first) }];
}

/**
 * Lists the fault-free predecessors of each state. Those of state n are the elements of `sources`
 * from index `first[n]` up to, but not including, `first[n + 1]`.
 */
function predecessors({ edges, parents }: StateGraph): {
  first: Uint32Array;
  sources: Uint32Array;
} {
  const first = new Uint32Array(parents.length + 1);
  for (let at = 1; at < edges.length; at += 2) {
    const target = edges[at] ?? 0;
    first[target + 1] = (first[target + 1] ?? 0) + 1;
  }
  for (let number = 1; number < first.length; number++) {
    first[number] = (first[number] ?? 0) + (first[number - 1] ?? 0);
  }
  const next = first.slice();
  const sources = new Uint32Array(edges.length / 2);
  for (let at = 0; at < edges.length; at += 2) {
    const target = edges[at + 1] ?? 0;
    const position = next[target] ?? 0;
    sources[position] = edges[at] ?? 0;
    next[target] = position + 1;
  }
  return { first, sources };
}
