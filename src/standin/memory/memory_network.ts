/**
 * A network between entry instances in memory, with injected failures, for tests on a virtual
 * clock.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import { sleep } from "../../interface/index.ts";
import type { Clock, Member, PeerFailure, PeerHandlers, Peers } from "../../interface/index.ts";
import { waitForAbort } from "./wait_for_abort.ts";

/**
 * Maximum number of calls that wait for a paused instance at once. All 1,024 slots handed over to
 * it stay below it. Node.js reports a leak of listeners above this number.
 */
const MAX_PENDING_CALLS = 2_048;

/** The network between entry instances in memory, with its failures. */
export interface MemoryNetwork {
  /**
   * Adds an instance. Calls to it wait for `whenRunning`, which resolves unless the instance is
   * paused.
   */
  join(member: Member, handlers: PeerHandlers, whenRunning?: () => Promise<void>): void;
  /** Removes an instance. Calls to it are refused at once, and its open streams fail. */
  kill(id: string): void;
  /** Returns the peer client of an instance. */
  peersOf(id: string): Peers;
  /**
   * Partitions or reconnects two instances in both directions. Calls across a partition time out.
   */
  setPartitioned(a: string, b: string, shouldPartition: boolean): void;
  /**
   * Makes the connections that are open between two instances hang forever. New connections work.
   */
  hangOpenConnections(a: string, b: string): void;
  /** Executes the next `count` calls from `a` to `b` but drops their responses. */
  dropResponses(a: string, b: string, count: number): void;
}

/** Network delay in one direction, in milliseconds. */
const ONE_WAY_DELAY = 1.5;
/** Milliseconds after which a call without a response fails. */
const CALL_TIMEOUT = 1_000;

interface NetworkNode {
  readonly address: string;
  readonly handlers: PeerHandlers;
  readonly whenRunning: () => Promise<void>;
  /**
   * Aborted when the instance is killed, because a paused instance that is killed never resumes.
   */
  readonly killed: AbortController;
}

/** Creates a network without instances. */
export function createMemoryNetwork(clock: Clock): MemoryNetwork {
  const nodes = new Map<string, NetworkNode>();
  const partitions = new Set<string>();
  const connectionGenerations = new Map<string, number>();
  const responsesToDrop = new Map<string, number>();
  const isPartitioned = (a: string, b: string): boolean => partitions.has(pairKey(a, b));
  const generationOf = (a: string, b: string): number =>
    connectionGenerations.get(pairKey(a, b)) ?? 0;

  /** Returns the id of an instance. A seed has no id, so it is looked up by its address. */
  const idOf = (to: Member): string => {
    if (to.id !== "") return to.id;
    return [...nodes].findLast(([, { address }]) => address === to.address)?.[0] ?? to.address;
  };

  const timeOut = async (from: string, to: string, step: string): Promise<never> => {
    await sleep(clock, CALL_TIMEOUT);
    await nodes.get(from)?.whenRunning();
    throw createPeerFailure(step, to, "No response within the timeout.");
  };
  const deliver = async (from: string, to: string, step: string): Promise<NetworkNode> => {
    if (isPartitioned(from, to)) return timeOut(from, to, step);
    await sleep(clock, ONE_WAY_DELAY);
    const node = nodes.get(to);
    if (node === undefined) throw createPeerFailure(step, to, "The connection was refused.");
    await waitUntilRunning(node.whenRunning(), node.killed.signal);
    if (nodes.get(to) !== node) throw createPeerFailure(step, to, "The connection was closed.");
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
    if (!nodes.has(from)) throw createPeerFailure(step, to, "The caller was killed.");
    await nodes.get(from)?.whenRunning();
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
        if (nodes.get(to.id) !== node)
          throw createPeerFailure("relay", to.id, "The stream was interrupted.");
        await nodes.get(from)?.whenRunning();
        yield event;
      }
    },
    close: () => undefined,
  });

  return {
    join: (member, handlers, whenRunning = () => Promise.resolve()) => {
      const killed = new AbortController();
      setMaxListeners(MAX_PENDING_CALLS, killed.signal);
      nodes.set(member.id, { address: member.address, handlers, whenRunning, killed });
    },
    kill: (id) => {
      const node = nodes.get(id);
      nodes.delete(id);
      node?.killed.abort();
    },
    peersOf,
    setPartitioned: (a, b, shouldPartition) => {
      if (shouldPartition) partitions.add(pairKey(a, b));
      else partitions.delete(pairKey(a, b));
    },
    hangOpenConnections: (a, b) => connectionGenerations.set(pairKey(a, b), generationOf(a, b) + 1),
    dropResponses: (a, b, count) => responsesToDrop.set(`${a}>${b}`, count),
  };
}

/**
 * Waits until the instance is running or the signal aborts. The listener is removed each time: the
 * signal lives as long as its instance, so otherwise it would collect a listener for every message
 * that the instance has received.
 */
function waitUntilRunning(running: Promise<void>, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const settle = (): void => {
      signal.removeEventListener("abort", settle);
      resolve();
    };
    if (signal.aborted) resolve();
    else signal.addEventListener("abort", settle);
    void running.finally(settle);
  });
}

function pairKey(a: string, b: string): string {
  return [a, b].sort().join("|");
}

function createPeerFailure(step: string, peer: string, problem: string): PeerFailure {
  return Object.assign(new Error(`Call to ${peer} failed at ${step}: ${problem}`), { step, peer });
}
