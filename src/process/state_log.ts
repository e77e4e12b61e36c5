import "./enable_log.ts";
import { ROARR, Roarr } from "roarr";
import type { Member, MemberState } from "../interface/index.ts";
import { WorkerState } from "../interface/index.ts";
import type {
  ConfigurationView,
  MembershipView,
  Subscription,
  WorkerView,
} from "../request/index.ts";
import { countSlots } from "../version/index.ts";

/** Sources of the state log. */
export interface StateLogParts {
  readonly self: Member;
  readonly configuration: ConfigurationView;
  readonly members: MembershipView & { present(): readonly Member[] };
  readonly workers: WorkerView;
}

/** Writes one line of the log, which is JSON. */
export type LogWriter = (line: string) => void;

/**
 * Logs changes of state, each with its step and peer. Frequent events are counted instead of
 * logged.
 *
 * The log compares each state with the last one that it saw, so tasks don't have to report their
 * changes, and a state reported twice is logged once.
 *
 * @param parts The sources.
 * @param write Writes a line.
 * @returns A subscription that ends the log when closed.
 */
export function startStateLog(parts: StateLogParts, write: LogWriter): Subscription {
  ROARR.write = write;
  const { self, configuration, members, workers } = parts;
  const log = Roarr.child({ instance: self.id });
  const onMembers = memberChanges(parts, log);
  const onVersions = versionChanges(parts, log);
  const onWorkers = workerChanges(parts, log);
  const subscriptions = [
    members.onChange(onMembers),
    configuration.onChange(onVersions),
    workers.onChange(onWorkers),
  ];
  // The states at the start are logged first.
  for (const logChanges of [onMembers, onVersions, onWorkers]) logChanges();
  return {
    close: () => {
      for (const subscription of subscriptions) subscription.close();
    },
  };
}

type Log = ReturnType<typeof Roarr.child>;

function memberChanges({ members }: StateLogParts, log: Log): () => void {
  const seen = new Map<string, MemberState | undefined>();
  return () => {
    for (const { id } of members.present()) if (!seen.has(id)) seen.set(id, undefined);
    for (const [peer, before] of seen) {
      const state = members.stateOf(peer);
      if (state === before) continue;
      seen.set(peer, state);
      log.info({ step: "membership", peer, state, before }, "an entry instance changed its state");
    }
  };
}

function versionChanges({ configuration }: StateLogParts, log: Log): () => void {
  let revision = 0;
  let preset = "";
  let slotMap = 0;
  return () => {
    const current = configuration.revision();
    if (current !== undefined && current.version !== revision) {
      const before = preset;
      ({ version: revision, preset } = current);
      const context = { step: "revision", peer: "store", revision, preset, before };
      log.info(context, "a revision is in force");
    }
    const map = configuration.slotMap();
    if (map.version === slotMap) return;
    slotMap = map.version;
    const { claim = "" } = map;
    const context = { step: "slot map", peer: "store", slotMap, ...countSlots(map), claim };
    log.info(context, "a slot map is in force");
  };
}

function workerChanges({ workers }: StateLogParts, log: Log): () => void {
  const seen = new Map<string, WorkerState>();
  return () => {
    const present = new Map(workers.list().map(({ id, state }) => [id, state]));
    for (const id of seen.keys()) if (!present.has(id)) present.set(id, WorkerState.Gone);
    for (const [peer, state] of present) {
      const before = seen.get(peer);
      if (before === state) continue;
      seen.set(peer, state);
      log.info({ step: "workers", peer, state, before }, "a backend server changed its state");
    }
    for (const [id, state] of seen) if (state === WorkerState.Gone) seen.delete(id);
  };
}
