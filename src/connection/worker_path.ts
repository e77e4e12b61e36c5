import { PathFault, sample } from "../decision/index.ts";
import { ConnectResult, DialFailure, sleep } from "../interface/index.ts";
import type { Clock, Random, WorkerEndpoint } from "../interface/index.ts";
import { connectTcp } from "./dial.ts";
import type { Connect } from "./dial.ts";
import { createPathChecks } from "./path_check.ts";
import type { HasLostPath } from "./path_check.ts";
import { createPathEvidence } from "./path_evidence.ts";
import type { PathChange } from "./path_evidence.ts";
import { dialForPeer } from "./peer_dial.ts";
import { createRelayChoice } from "./relay_choice.ts";
import { createReturnChecks, RETURN_CHECK_INTERVAL } from "./return_checks.ts";
import { createWorkerDials } from "./worker_dials.ts";
import type { DialWorker } from "./worker_dials.ts";

/** The way from this instance to the workers: directly, or through another instance if the direct path is lost. */
export interface WorkerPath {
  /** Starts to open a connection to a worker. */
  readonly dial: DialWorker;
  /** Starts to open a direct connection for another instance. */
  readonly dialForPeer: DialWorker;
  /** Checks whether the worker's process accepts connections. */
  tryConnect(worker: WorkerEndpoint): Promise<ConnectResult>;
  /** Finds out whether the direct path to a worker that didn't answer is lost, although another instance reaches it. */
  readonly hasLostPath: HasLostPath;
  /** Records that a newly opened connection has delivered data. */
  recordWorking(worker: WorkerEndpoint, connection: { readonly isRelayed: boolean }): void;
  /** Records that a newly opened direct connection broke before it delivered any data. */
  recordBroken(worker: WorkerEndpoint): void;
  /** Whether direct connections to the worker that are open probably still deliver data. */
  keepsOpenConnections(worker: WorkerEndpoint): boolean;
  /** Keeps only what is known of the paths to the given workers. */
  retainWorkers(ids: ReadonlySet<string>): void;
  /** Number of workers that are reached only through other instances. */
  readonly lostCount: number;
  /** Number of connections that this instance has started to open. */
  readonly dialCount: number;
  /** Ends the attempts to find direct paths again. */
  close(): void;
}

/** Dependencies of {@linkcode createWorkerPath}. */
export interface WorkerPathParts {
  readonly clock: Clock;
  readonly random: Random;
  /** By default, connections of the operating system. */
  readonly connect?: Connect | undefined;
  /** Returns the addresses of other instances that may relay connections. */
  readonly relays?: () => readonly string[];
  /** Returns the registered workers, of which some are tried to find out whether the direct path is back. */
  readonly workers?: () => readonly WorkerEndpoint[];
  /** Called when the first path is lost, and when the last one is back. */
  readonly onChange?: (change: PathChange) => void;
}

/** Maximum number of attempts to find out whether a worker has ended while no path to it is found. */
const MAX_CONNECT_TRIES = 3;

/** Creates the path. */
export function createWorkerPath(parts: WorkerPathParts): WorkerPath {
  const { clock, random, connect = connectTcp, onChange = () => undefined } = parts;
  const { relays = () => [], workers = () => [] } = parts;
  const evidence = createPathEvidence({ clock, onChange, onDoubt: () => returnChecks.start() });
  const { reachability, recordWorking, recordBroken, recordDetour } = evidence;
  const relayChoice = createRelayChoice({ clock, random, relays });
  const dials = createWorkerDials({ clock, connect, evidence, relayChoice });
  const checkPath = createPathChecks({
    clock,
    dialDirectly: dials.dialToCheck,
    dialThroughRelay: dials.dialThroughRelay,
    isLost: ({ id }) => reachability.isLost(id, clock.now()),
    onReset: recordBroken,
    onWorking: recordWorking,
    onLost: recordDetour,
  });
  /** While all paths are in doubt, one worker without a failure is tried, too: if it works, only others are lost. */
  const nextChecks = (): readonly WorkerEndpoint[] | undefined => {
    if (!evidence.update()) return undefined;
    const lost = reachability.nextChecks(clock.now());
    if (!reachability.isCutOff(clock.now())) return lost;
    return [...lost, ...sample(workers(), { count: 1, random })];
  };
  const returnChecks = createReturnChecks({
    clock,
    dial: dials.dialToCheck,
    next: nextChecks,
    onReset: recordBroken,
    onWorking: recordWorking,
  });
  const tryConnect = async (worker: WorkerEndpoint): Promise<ConnectResult> => {
    for (let tries = 0; tries < MAX_CONNECT_TRIES; tries++) {
      if (tries > 0) await sleep(clock, RETURN_CHECK_INTERVAL);
      const failure = await tryDial(dials.dial, worker);
      if (failure !== DialFailure.NoPath) return connectResultOf(failure);
    }
    return ConnectResult.Unanswered;
  };
  return {
    dial: dials.dial,
    dialForPeer: (worker, listener) =>
      dialForPeer({ clock, connect, worker, reachability }, listener),
    tryConnect,
    hasLostPath: async (worker) => relayChoice.hasAny() && (await checkPath(worker)),
    recordWorking: (worker, { isRelayed }) => (isRelayed ? recordDetour : recordWorking)(worker),
    recordBroken,
    keepsOpenConnections: ({ id }) => {
      const fault = reachability.faultOf(id, clock.now());
      return fault === undefined || fault === PathFault.Refused;
    },
    retainWorkers: (ids) => reachability.retainWorkers(ids),
    get lostCount() {
      return reachability.lostCount;
    },
    get dialCount() {
      return dials.count;
    },
    close: () => returnChecks.close(),
  };
}

/** Opens a connection and closes it again. Resolves with the failure, or undefined if it was opened. */
function tryDial(dial: DialWorker, worker: WorkerEndpoint): Promise<DialFailure | undefined> {
  return new Promise((resolve) => {
    dial(worker, {
      opened: ({ socket }) => {
        socket.on("error", () => undefined);
        socket.destroy();
        resolve(undefined);
      },
      failed: (failure) => resolve(failure),
    });
  });
}

function connectResultOf(failure: DialFailure | undefined): ConnectResult {
  if (failure === undefined) return ConnectResult.Accepted;
  return failure === DialFailure.Refused ? ConnectResult.Refused : ConnectResult.Unanswered;
}
