import { setMaxListeners } from "node:events";
import { sleep } from "../../interface/index.ts";
import type { Clock, Member, PeerFailure, PeerHandlers, Peers } from "../../interface/index.ts";
import { waitForAbort } from "./wait_for_abort.ts";

/** More calls than wait for one frozen instance at once, with all of 1,024 slots handed to it: beyond, listeners leak. */
const MAX_PENDING_CALLS = 2_048;

/** The paths between entry instances in memory, with the ways in which they fail. */
export interface MemoryNetwork {
  /** Puts an instance on the network; `gate` holds everything back that reaches it while it is frozen. */
  join(member: Member, handlers: PeerHandlers, gate?: () => Promise<void>): void;
  /** Takes an instance off: calls to it are refused at once, its open streams break. */
  kill(id: string): void;
  /** The calls as the given instance makes them. */
  peersOf(id: string): Peers;
  /** Cuts or mends the path between two instances, both ways: calls get no answer. */
  setCut(a: string, b: string, isPartitioned: boolean): void;
  /** Connections open between the two go silent for good, while new ones work. */
  silence(a: string, b: string): void;
  /** The next `count` calls from `a` to `b` are carried out and their answers are lost. */
  loseAnswers(a: string, b: string, count: number): void;
}

/** One way between instances, in milliseconds. */
const ONE_WAY_DELAY = 1.5;
/** How long a caller waits for an answer. */
const CALL_TIMEOUT = 1_000;

interface NetworkNode {
  readonly address: string;
  readonly handlers: PeerHandlers;
  readonly gate: () => Promise<void>;
  /** Aborted when the instance is killed: a frozen one that is killed answers nobody. */
  readonly killed: AbortController;
}

/** Makes a network without instances. */
export function createMemoryNetwork(clock: Clock): MemoryNetwork {
  const nodes = new Map<string, NetworkNode>();
  const partitions = new Set<string>();
  const connectionGenerations = new Map<string, number>();
  const responsesToDrop = new Map<string, number>();
  const isPartitioned = (a: string, b: string): boolean => partitions.has(pairKey(a, b));
  const generationOf = (a: string, b: string): number =>
    connectionGenerations.get(pairKey(a, b)) ?? 0;

  /** A seed is known by its address alone. */
  const idOf = (to: Member): string => {
    if (to.id !== "") return to.id;
    return [...nodes].findLast(([, { address }]) => address === to.address)?.[0] ?? to.address;
  };

  const timeOut = async (from: string, to: string, step: string): Promise<never> => {
    await sleep(clock, CALL_TIMEOUT);
    await nodes.get(from)?.gate();
    throw createPeerFailure(step, to, "No answer came in time.");
  };
  const deliver = async (from: string, to: string, step: string): Promise<NetworkNode> => {
    if (isPartitioned(from, to)) return timeOut(from, to, step);
    await sleep(clock, ONE_WAY_DELAY);
    const node = nodes.get(to);
    if (node === undefined) throw createPeerFailure(step, to, "The connection was refused.");
    await waitForGate(node.gate(), node.killed.signal);
    if (nodes.get(to) !== node) throw createPeerFailure(step, to, "The connection broke.");
    return node;
  };
  const shouldDropResponse = (from: string, to: string): boolean => {
    const remaining = responsesToDrop.get(`${from}>${to}`) ?? 0;
    if (remaining > 0) responsesToDrop.set(`${from}>${to}`, remaining - 1);
    return remaining > 0;
  };
  const call = async <T>(
    path: { from: string; to: string; step: string },
    run: (handlers: PeerHandlers) => T | Promise<T>,
  ): Promise<T> => {
    const { from, to, step } = path;
    const node = await deliver(from, to, step);
    const response = await run(node.handlers);
    if (isPartitioned(from, to) || shouldDropResponse(from, to)) return timeOut(from, to, step);
    await sleep(clock, ONE_WAY_DELAY);
    if (!nodes.has(from)) throw createPeerFailure(step, to, "The caller has gone.");
    await nodes.get(from)?.gate();
    return response;
  };

  const peersOf = (from: string): Peers => ({
    replicate: (to, message) =>
      call({ from, to: to.id, step: "replicate" }, (node) => node.replicate(message)),
    cede: (to, message) => call({ from, to: to.id, step: "cede" }, (node) => node.cede(message)),
    probe: (to, message) =>
      call({ from, to: idOf(to), step: "probe" }, (node) => node.probe(message)),
    pull: (to, key) => call({ from, to: to.id, step: "pull" }, (node) => node.pull(key)),
    ask: (to, message) => call({ from, to: to.id, step: "ask" }, (node) => node.ask(message)),
    relay: async function* (to, message, signal) {
      const node = await deliver(from, to.id, "relay");
      const generation = generationOf(from, to.id);
      for await (const event of node.handlers.relay(message, signal)) {
        if (generationOf(from, to.id) !== generation || isPartitioned(from, to.id))
          await waitForAbort(signal);
        if (nodes.get(to.id) !== node) throw createPeerFailure("relay", to.id, "The stream broke.");
        await nodes.get(from)?.gate();
        yield event;
      }
    },
    close: () => undefined,
  });

  return {
    join: (member, handlers, gate = () => Promise.resolve()) => {
      const killed = new AbortController();
      setMaxListeners(MAX_PENDING_CALLS, killed.signal);
      nodes.set(member.id, { address: member.address, handlers, gate, killed });
    },
    kill: (id) => {
      const node = nodes.get(id);
      nodes.delete(id);
      node?.killed.abort();
    },
    peersOf,
    setCut: (a, b, isPartitioned) => {
      if (isPartitioned) partitions.add(pairKey(a, b));
      else partitions.delete(pairKey(a, b));
    },
    silence: (a, b) => connectionGenerations.set(pairKey(a, b), generationOf(a, b) + 1),
    loseAnswers: (a, b, count) => responsesToDrop.set(`${a}>${b}`, count),
  };
}

/**
 * Waits until the gate lets pass or the signal aborts. The signal lives as long as its instance: a listener that
 * each call left on it would be one more for every message that the instance ever took.
 */
function waitForGate(gate: Promise<void>, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const settle = (): void => {
      signal.removeEventListener("abort", settle);
      resolve();
    };
    if (signal.aborted) resolve();
    else signal.addEventListener("abort", settle);
    void gate.finally(settle);
  });
}

function pairKey(a: string, b: string): string {
  return [a, b].sort().join("|");
}

function createPeerFailure(step: string, peer: string, problem: string): PeerFailure {
  return Object.assign(new Error(`Calling ${peer} to ${step}: ${problem}`), { step, peer });
}
