import { createScheduler } from "../../decision/index.ts";
import { createSeededRandom, MemberState, Purchase, WorkerState } from "../../interface/index.ts";
import type { Member, PeerHandlers, RequestRecord, Worker } from "../../interface/index.ts";
import {
  createPauseControl,
  createMemoryEngines,
  createMemoryNetwork,
  createVirtualClock,
} from "../../standin/memory/index.ts";
import type {
  PauseControl,
  MemoryEngines,
  MemoryNetwork,
  VirtualClock,
} from "../../standin/memory/index.ts";
import { EMPTY_SLOT_MAP } from "../../version/index.ts";
import type { SlotAssignment, SlotMap } from "../../version/index.ts";
import type { Counters } from "../environment.ts";
import type { CallerEvent, RequestService, Submission } from "../request_api.ts";
import { createRequestService } from "../request_service.ts";

/** The request service of one entry instance over in-memory fakes. */
export interface RequestNode {
  readonly member: Member;
  readonly requests: RequestService;
  readonly pauseControl: PauseControl;
  /** Values of the counters by name. */
  readonly counts: ReadonlyMap<string, number>;
  /** Whether the instance receives no changes of the slot map and of members. */
  isIsolated: boolean;
}

/** A caller of the fleet, with the events that it has received so far. */
export interface CallerView {
  readonly events: CallerEvent[];
  /** The tokens received so far, joined. */
  readonly text: string;
  /** Whether the iteration over the events has ended. */
  readonly isDone: boolean;
  /** Id of the request; empty before it was accepted. */
  readonly id: string;
  /** Ends the caller's connection. */
  disconnect(): void;
}

/**
 * Entry instances over in-memory fakes. The test writes the slot map and sets the state of members.
 */
export interface RequestFleet {
  readonly clock: VirtualClock;
  readonly engines: MemoryEngines;
  readonly network: MemoryNetwork;
  readonly nodes: readonly RequestNode[];
  /** Returns the instance with the given index. */
  node(index: number): RequestNode;
  /** Assigns all slots to a primary and a backup, given by index; -1 for none. */
  assign(primary: number, backup: number, options?: { historyLost?: boolean }): void;
  /** Sets the membership state of an instance. */
  setState(index: number, state: MemberState): void;
  /** Kills an instance without notice. */
  kill(index: number): void;
  /** Replaces the workers, which all instances see at once. */
  setWorkers(workers: readonly Worker[]): void;
  /** Submits a request at the instance with the given index. */
  submit(index: number, submission?: Partial<Submission>): CallerView;
  /** Follows a request at the instance with the given index. */
  follow(index: number, id: string, fromToken?: number): CallerView;
  close(): void;
}

/** Number of tokens in an answer, unless a submission states otherwise. */
const ANSWER_TOKENS = 8;

/**
 * Creates a fleet of entry instances, each in an availability zone of its own, with two workers.
 */
export function createRequestFleet(instances = 3): RequestFleet {
  const clock = createVirtualClock();
  const engines = createMemoryEngines(clock);
  const network = createMemoryNetwork(clock);
  const states = new Map<string, MemberState>();
  const listeners = new Set<() => void>();
  const workerListeners = new Set<() => void>();
  let workers: readonly Worker[] = [createTestWorker("w1"), createTestWorker("w2")];
  let map: SlotMap = EMPTY_SLOT_MAP;
  const members = Array.from({ length: instances }, (_, index) => createMember(index));
  const stateOf = (id: string): MemberState => states.get(id) ?? MemberState.Alive;

  const createNode = (self: Member, index: number): RequestNode => {
    const pauseControl = createPauseControl(clock);
    const counts = new Map<string, number>();
    const whenRunning = (): Promise<void> => pauseControl.whenRunning();
    const scheduler = createScheduler();
    scheduler.setWorkers(workers, 0);
    workerListeners.add(() => scheduler.setWorkers(workers, clock.now()));
    let knownMap = map;
    const subscribe = (set: Set<() => void>, listener: () => void): { close(): void } => {
      const notify = (): void => {
        if (node.isIsolated) return;
        void pauseControl.whenRunning().then(() => {
          knownMap = map;
          listener();
        });
      };
      set.add(notify);
      return { close: () => set.delete(notify) };
    };
    const requests = createRequestService({
      clock: pauseControl.clock,
      random: createSeededRandom(index + 1),
      configuration: {
        revision: () => undefined,
        slotMap: () => knownMap,
        onChange: (listener) => subscribe(listeners, listener),
        isCutOff: () => false,
        refresh: () => Promise.resolve(),
      },
      members: {
        self,
        find: (id) => members.find((member) => member.id === id),
        stateOf,
        alive: () => members.filter(({ id }) => stateOf(id) === MemberState.Alive),
        onChange: (listener) => subscribe(listeners, listener),
      },
      workers: {
        list: () => workers,
        find: (id) => workers.find((worker) => worker.id === id),
        onChange: (listener) => subscribe(workerListeners, listener),
      },
      peers: network.peersOf(self.id),
      engine: engines.connect(whenRunning),
      scheduler,
      counters: createCounters(counts),
    });
    const node: RequestNode = {
      member: self,
      requests,
      pauseControl,
      counts,
      isIsolated: false,
    };
    network.join(self, withoutControlHandlers(requests), whenRunning);
    return node;
  };
  const nodes = members.map(createNode);
  const nodeAt = (index: number): RequestNode => {
    const node = nodes[index];
    if (node === undefined) throw new Error(`The fleet has no instance ${index}.`);
    return node;
  };
  const notifyListeners = (): void => {
    for (const listener of [...listeners]) listener();
  };
  return {
    clock,
    engines,
    network,
    nodes,
    node: nodeAt,
    assign: (primary, backup, { historyLost = false } = {}) => {
      const historyLostAt = historyLost ? clock.date().getTime() : 0;
      const epoch = (map.slots[0]?.epoch ?? 0) + 1;
      const idAt = (index: number): string => members[index]?.id ?? "";
      const ids = { primary: idAt(primary), backup: idAt(backup) };
      const assignment: SlotAssignment = { epoch, ...ids, historyLostAt };
      map = { version: map.version + 1, slots: map.slots.map(() => assignment) };
      notifyListeners();
    },
    setState: (index, state) => {
      states.set(nodeAt(index).member.id, state);
      notifyListeners();
    },
    kill: (index) => {
      const { member, pauseControl, requests } = nodeAt(index);
      network.kill(member.id);
      pauseControl.pause();
      requests.close();
      states.set(member.id, MemberState.Dead);
      notifyListeners();
    },
    setWorkers: (next) => {
      workers = next;
      for (const listener of [...workerListeners]) listener();
    },
    submit: (index, submission = {}) =>
      createCaller((signal) =>
        nodeAt(index).requests.submit({ ...SUBMISSION, ...submission }, signal),
      ),
    follow: (index, id, fromToken = 0) =>
      createCaller((signal) =>
        nodeAt(index).requests.follow(id, { account: SUBMISSION.account, fromToken, signal }),
      ),
    close: () => {
      for (const { requests } of nodes) requests.close();
    },
  };
}

/** The default submission. */
export const SUBMISSION: Submission = {
  account: "club",
  service: "entry-model",
  model: "",
  path: "/v1/chat/completions",
  body: JSON.stringify({ model: "entry-model", max_tokens: ANSWER_TOKENS }),
  detached: false,
  fromToken: 0,
};

/** Returns the answer of the fleet's backend servers with the given number of tokens. */
export function expectedAnswer(tokens = ANSWER_TOKENS): string {
  return Array.from({ length: tokens }, (_, index) => `t${index} `).join("");
}

/** Returns the record of an ended request; undefined if it has not ended. */
export function endedRecord(caller: CallerView): RequestRecord | undefined {
  const last = caller.events.at(-1);
  return last?.kind === "ended" ? last.record : undefined;
}

/** Creates a worker of the service of {@linkcode SUBMISSION}. */
export function createTestWorker(id: string): Worker {
  return {
    id,
    address: "http://127.0.0.1:1",
    service: "entry-model",
    zone: "a",
    machineClass: "standard",
    purchase: Purchase.Reclaimable,
    state: WorkerState.Live,
  };
}

function createMember(index: number): Member {
  const address = `127.0.0.1:${7_000 + index}`;
  return { id: `e${index}#1`, address, callerAddress: address, zone: `zone-${index}` };
}

function withoutControlHandlers(requests: RequestService): PeerHandlers {
  return {
    ...requests.handlers,
    probe: () => Promise.reject(new Error("The fleet has no control tasks.")),
    pull: () => undefined,
  };
}

function createCaller(open: (signal: AbortSignal) => AsyncIterable<CallerEvent>): CallerView {
  const controller = new AbortController();
  const events: CallerEvent[] = [];
  const state = { text: "", done: false, id: "" };
  const read = async (): Promise<void> => {
    for await (const event of open(controller.signal)) {
      events.push(event);
      if (event.kind === "accepted") state.id = event.id;
      if (event.kind === "token") state.text += event.text;
    }
    state.done = true;
  };
  void read();
  return {
    events,
    get text() {
      return state.text;
    },
    get isDone() {
      return state.done;
    },
    get id() {
      return state.id;
    },
    disconnect: () => controller.abort(new Error("The caller has disconnected.")),
  };
}

function createCounters(counts: Map<string, number>): Counters {
  const add = (name: string, amount = 1): void => {
    counts.set(name, (counts.get(name) ?? 0) + amount);
  };
  return {
    refused: (reason) => add(`refused.${reason}`),
    retried: (cause) => add(`retried.${cause}`),
    recomputed: (cause, tokens) => add(`recomputed.${cause}`, tokens),
    firstToken: () => undefined,
    betweenTokens: () => undefined,
    count: (name) => add(name),
  };
}
