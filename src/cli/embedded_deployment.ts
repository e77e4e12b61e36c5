import { createHttpObjectStore } from "../connection/index.ts";
import type { Listener } from "../connection/index.ts";
import { Purchase, sleep, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { startEntry, systemClock, systemRandom } from "../process/index.ts";
import type { EntryInstance, EntrySettings } from "../process/index.ts";
import { startBackend, startPlatform } from "../standin/index.ts";
import type { BackendListener, EntryPlace, PlatformListener } from "../standin/index.ts";
import { formatRevision, REVISION_KEY } from "../version/index.ts";

/** What an embedded deployment is made with. */
export interface EmbeddedSettings {
  /** Port of the first entry instance, the others follow; 0 for free ones. */
  readonly port: number;
  readonly entryInstances: number;
  /** Workers by service. */
  readonly workers: Readonly<Record<string, number>>;
  readonly zones: readonly string[];
  /** The deployment document, as its file has it. */
  readonly source: unknown;
  readonly preset: string;
  readonly operatorKey: string;
}

/** A backend server's stand-in with the worker that it is. */
export interface EmbeddedBackend {
  readonly worker: Worker;
  readonly listener: BackendListener;
}

/** A whole deployment in one process: entry instances, and stand-ins for all that is outside. */
export interface EmbeddedDeployment {
  readonly entries: readonly EntryInstance[];
  readonly backends: readonly EmbeddedBackend[];
  /** The platform's stand-in, which can take instances back and be down. */
  readonly platform: PlatformListener;
  close(): Promise<void>;
}

/** How long a new deployment may take to give every slot its owners, and how often it is looked. */
const FORMING_PATIENCE = 20_000;
const FORMING_PERIOD = 20;
const LOOPBACK = "127.0.0.1";
const TOKEN_TIME = 20;

/** Starts a deployment on loopback sockets in this process. */
export async function startEmbedded(settings: EmbeddedSettings): Promise<EmbeddedDeployment> {
  const backends = await startBackends(settings);
  const entries: EntryInstance[] = [];
  const platform = await startPlatform({
    listen: `${LOOPBACK}:0`,
    clock: systemClock,
    workers: backends.map(({ worker }) => worker),
    entries: entryNames(settings),
    taken: (instance) => {
      // What the cloud takes ends at once, with whatever is still in progress on it.
      void backends.find(({ worker }) => worker.id === instance)?.listener.close();
      void entries.find(({ self }) => self.id.startsWith(`${instance}#`))?.close();
    },
  });
  await writeRevision(settings, platform.address);
  for (const entry of await startEntries(settings, platform.address)) entries.push(entry);
  await untilFormed(entries);
  return {
    entries,
    backends,
    platform,
    close: async () => {
      for (const entry of entries) await entry.close();
      for (const { listener } of backends) await listener.close();
      await platform.close();
    },
  };
}

async function startBackends(settings: EmbeddedSettings): Promise<EmbeddedBackend[]> {
  const places = Object.entries(settings.workers).flatMap(([service, count]) =>
    Array.from({ length: count }, (_, index) => ({ service, index })),
  );
  const started = places.map(async ({ service, index }) => {
    const listener = await startBackend({
      listen: `${LOOPBACK}:0`,
      tokenTime: TOKEN_TIME,
      clock: systemClock,
    });
    return { listener, worker: workerAt(settings, { service, index, backend: listener }) };
  });
  return Promise.all(started);
}

/** Waits until every slot has its owners: before that a request may find no second holder. */
async function untilFormed(entries: readonly EntryInstance[]): Promise<void> {
  const isOwned = ({ core }: EntryInstance): boolean =>
    core.configuration
      .slotMap()
      .slots.every(
        ({ primary, backup }) => primary !== "" && (backup !== "" || entries.length < 2),
      );
  const startedAt = systemClock.now();
  while (!entries.every(isOwned) && systemClock.now() - startedAt < FORMING_PATIENCE) {
    await sleep(systemClock, FORMING_PERIOD);
  }
}

function entryNames({ entryInstances, zones }: EmbeddedSettings): EntryPlace[] {
  return Array.from({ length: entryInstances }, (_, index) => ({
    name: `entry-${index + 1}`,
    zone: zones[index % zones.length] ?? "",
  }));
}

function workerAt(
  { zones }: EmbeddedSettings,
  { service, index, backend }: { service: string; index: number; backend: Listener },
): Worker {
  return {
    id: `${service}-${index}`,
    address: `http://${backend.address}`,
    service,
    zone: zones[index % zones.length] ?? "",
    machineClass: "standard",
    purchase: Purchase.Reclaimable,
    state: WorkerState.Live,
  };
}

async function writeRevision(settings: EmbeddedSettings, platform: string): Promise<void> {
  const store = createHttpObjectStore(platform);
  const { source, preset } = settings;
  const value = formatRevision({ source, preset, changes: [] });
  const outcome = await store.put(REVISION_KEY, value, { expect: 0 });
  store.close();
  if (outcome.kind !== "written") throw new Error(`Writing the first revision: ${outcome.kind}.`);
}

async function startEntries(
  settings: EmbeddedSettings,
  platform: string,
): Promise<EntryInstance[]> {
  const entries: EntryInstance[] = [];
  for (let index = 0; index < settings.entryInstances; index++) {
    const port = settings.port === 0 ? 0 : settings.port + index;
    const entry: EntrySettings = {
      name: `entry-${index + 1}`,
      zone: settings.zones[index % settings.zones.length] ?? "",
      region: "local",
      callers: `${LOOPBACK}:${port}`,
      peers: `${LOOPBACK}:0`,
      seeds: entries.map((earlier) => earlier.self.address),
      platform: { objects: platform, cloud: platform, instances: platform },
      secrets: { operatorKey: settings.operatorKey, peerKey: settings.operatorKey },
      reread: 30_000,
      log: false,
      memory: 1_000_000_000,
    };
    entries.push(await startEntry(entry, { clock: systemClock, random: systemRandom }));
  }
  return entries;
}
