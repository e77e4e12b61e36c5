import { sleep } from "../interface/index.ts";
import type { Clock, ObjectStore } from "../interface/index.ts";
import type { ConfigurationView, Subscription } from "../request/index.ts";
import { EMPTY_SLOT_MAP, laterRevision, parseRevision, REVISION_KEY } from "../version/index.ts";
import type { Revision } from "../version/index.ts";

/** Milliseconds after which a watch that failed is begun again. */
const WATCH_PAUSE = 500;

/** The task that follows the configuration in force. */
export interface Configuration extends ConfigurationView {
  /** Reads what is in force, then follows it. */
  start(): Promise<void>;
  close(): void;
}

/** What the configuration task is made with. */
export interface ConfigurationParts {
  readonly clock: Clock;
  readonly store: ObjectStore;
}

/** Makes the task; it does nothing before it is started. */
export function createConfiguration({ clock, store }: ConfigurationParts): Configuration {
  const listeners = new Set<() => void>();
  const ending = new AbortController();
  let revision: Revision | undefined;
  const hear = (version: number, value: string): void => {
    const later = laterRevision(revision, parseRevision(version, value));
    if (later === revision) return;
    revision = later;
    for (const listener of listeners) listener();
  };
  const refresh = async (): Promise<void> => {
    const read = await store.get(REVISION_KEY);
    if (read.kind === "found") hear(read.object.version, read.object.value);
  };
  const follow = async (): Promise<void> => {
    while (!ending.signal.aborted) {
      try {
        const after = revision?.version ?? 0;
        const changed = await store.watch(REVISION_KEY, after, ending.signal);
        if (changed !== undefined) hear(changed.version, changed.value);
      } catch {
        await sleep(clock, WATCH_PAUSE);
      }
    }
  };
  return {
    revision: () => revision,
    slotMap: () => EMPTY_SLOT_MAP,
    onChange: (listener) => subscribe(listeners, listener),
    isCutOff: () => false,
    refresh,
    start: async () => {
      await refresh();
      void follow();
    },
    close: () => ending.abort(new Error("The instance is closing.")),
  };
}

/** Adds a listener to a set until the subscription is closed. */
export function subscribe(listeners: Set<() => void>, listener: () => void): Subscription {
  listeners.add(listener);
  return { close: () => listeners.delete(listener) };
}
