/**
 * An explicit-state checker: visits every state that a specification can reach, breadth first, so that
 * the first trace to a violation is a shortest one.
 *
 * @module
 */
import xxhash from "xxhash-wasm";

/** One step of a specification. */
export interface Step<State> {
  /** What happens, as a trace shows it. */
  readonly name: string;
  /** True for faults: progress is asked for without them. */
  readonly fault: boolean;
  readonly next: State;
}

/** What is never true of a correct protocol. */
export interface Invariant<State> {
  readonly name: string;
  readonly holds: (state: State) => boolean;
}

/** States and actions as plain data and functions. */
export interface Specification<State> {
  readonly name: string;
  readonly initial: State;
  readonly steps: (state: State) => readonly Step<State>[];
  /** A text that two states share exactly when they are the same. */
  readonly encode: (state: State) => string;
  readonly invariants: readonly Invariant<State>[];
  /** From every state such a state must be reachable without a further fault. */
  readonly goal: (state: State) => boolean;
}

/** A way from the initial state to a violation. */
export interface Violation {
  readonly invariant: string;
  readonly trace: readonly string[];
}

/** What an exploration found. */
export interface Exploration {
  readonly specification: string;
  readonly states: number;
  readonly transitions: number;
  readonly depth: number;
  /** False where the limit on states stopped it. */
  readonly complete: boolean;
  readonly violations: readonly Violation[];
}

/** Bounds of an exploration. */
export interface Limits {
  readonly maxStates: number;
}

/** The name under which a state without a fault-free way to the goal is reported. */
export const PROGRESS = "progress: every accepted request can end once the faults have ended";

const HASH_MASK = 2n ** 53n - 1n;

/** The visited states, by number in the order of discovery. */
interface Graph {
  readonly parents: number[];
  readonly names: string[];
  readonly goals: boolean[];
  /** Fault-free transitions, as pairs of from and to. */
  readonly edges: number[];
  depth: number;
  transitions: number;
}

/**
 * Explores a specification.
 *
 * States are told apart by 53 bits of a hash: at a million states two of them are taken for one with a
 * chance of about 1 in 20,000, and a violation could then be missed, never invented.
 *
 * @returns The size of what was explored, and the violations: the first of an invariant, else those of
 * progress.
 */
export async function explore<State>(
  specification: Specification<State>,
  limits: Limits,
): Promise<Exploration> {
  const hasher = await xxhash();
  const hash = (state: State): number =>
    Number(hasher.h64(specification.encode(state)) & HASH_MASK);
  const graph: Graph = { parents: [], names: [], goals: [], edges: [], depth: 0, transitions: 0 };
  const numbers = new Map<number, number>();
  const add = (state: State, { parent, name }: { parent: number; name: string }): number => {
    const number = graph.parents.push(parent) - 1;
    numbers.set(hash(state), number);
    graph.names.push(name);
    graph.goals.push(specification.goal(state));
    return number;
  };
  const broken = (state: State): Invariant<State> | undefined =>
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
    const following: typeof frontier = [];
    for (const { number, state } of frontier) {
      for (const { name, fault, next } of specification.steps(state)) {
        graph.transitions++;
        const known = numbers.get(hash(next));
        const target = known ?? add(next, { parent: number, name });
        if (!fault) graph.edges.push(number, target);
        if (known !== undefined) continue;
        const invariant = broken(next);
        if (invariant !== undefined) {
          return result(false, [{ invariant: invariant.name, trace: traceTo(graph, target) }]);
        }
        following.push({ number: target, state: next });
      }
      if (graph.parents.length > limits.maxStates) return result(false, []);
    }
    if (following.length > 0) graph.depth++;
    frontier = following;
  }
  return result(true, stuck(graph));
}

function traceTo(graph: Graph, target: number): string[] {
  const trace: string[] = [];
  for (let at = target; at > 0; at = graph.parents[at] ?? 0) trace.unshift(graph.names[at] ?? "");
  return trace;
}

/** The first state from which no fault-free way leads to the goal, by search backwards from the goals. */
function stuck(graph: Graph): Violation[] {
  const before = predecessors(graph);
  const reaches = new Uint8Array(graph.parents.length);
  const queue: number[] = [];
  graph.goals.forEach((isGoal, number) => {
    if (!isGoal) return;
    reaches[number] = 1;
    queue.push(number);
  });
  for (let number = queue.pop(); number !== undefined; number = queue.pop()) {
    for (let at = before.first[number] ?? 0; at < (before.first[number + 1] ?? 0); at++) {
      const from = before.sources[at] ?? 0;
      if (reaches[from] === 1) continue;
      reaches[from] = 1;
      queue.push(from);
    }
  }
  const first = reaches.indexOf(0);
  return first < 0 ? [] : [{ invariant: PROGRESS, trace: traceTo(graph, first) }];
}

/** Fault-free predecessors of each state, in one array cut up by `first`. */
function predecessors({ edges, parents }: Graph): { first: Uint32Array; sources: Uint32Array } {
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
    const place = next[target] ?? 0;
    sources[place] = edges[at] ?? 0;
    next[target] = place + 1;
  }
  return { first, sources };
}
