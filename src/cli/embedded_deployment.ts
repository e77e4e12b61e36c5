import { createHttpObjectStore } from "../connection/index.ts";
import type { Listener } from "../connection/index.ts";
import { Purchase, sleep, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";
import { startEntry, startStateLog, systemClock, systemRandom } from "../process/index.ts";
import type { EntryInstance, EntrySettings, LogWriter } from "../process/index.ts";
import { startBackendServer, startPlatformServer } from "../standin/index.ts";
import type { BackendServer, EntryLocation, PlatformServer } from "../standin/index.ts";
import { formatRevision, REVISION_KEY } from "../version/index.ts";

/** Settings of an embedded deployment. */
export interface EmbeddedSettings {
  /** Port of the first entry instance; the others use the following ports. 0 selects free ports. */
  readonly port: number;
  /** Number of entry instances. */
  readonly entryInstanceCount: number;
  /** Number of workers by service. */
  readonly workerCounts: Readonly<Record<string, number>>;
  /** Availability zones, assigned in turn to the entry instances and to the workers of each service. */
  readonly zones: readonly string[];
  /** The deployment document as a parsed value, not yet validated. */
  readonly document: unknown;
  /** Name of the preset in the first revision. */
  readonly preset: string;
  /** Operator credential; the entry instances also use it among each other. */
  readonly operatorKey: string;
  /** Receives the log of the entry instances' changes of state. Nothing is logged if absent. */
  readonly log?: LogWriter;
}

/** A backend server stand-in and its entry in the platform's list of workers. */
export interface EmbeddedBackend {
  readonly worker: Worker;
  readonly listener: BackendServer;
}

/** A deployment in one process: entry instances, and stand-ins for the platform and the backend servers. */
export interface EmbeddedDeployment {
  readonly entries: readonly EntryInstance[];
  readonly backends: readonly EmbeddedBackend[];
  /** The platform stand-in, which can reclaim instances and simulate an outage of its object API. */
  readonly platform: PlatformServer;
  /** Stops the entry instances, the backend servers and the platform, in this order. */
  close(): Promise<void>;
}

/** Maximum time to wait at startup until every slot has its owners, in milliseconds. */
const SLOT_ASSIGNMENT_TIMEOUT = 20_000;
/** Interval between two checks of the slot maps, in milliseconds. */
const SLOT_POLL_INTERVAL = 20;
const LOOPBACK = "127.0.0.1";
/** Time between two tokens of a response, in milliseconds. */
const TOKEN_TIME = 20;

/**
 * Starts a deployment in this process on loopback sockets.
 *
 * @returns The deployment, once every slot has its owners or {@linkcode SLOT_ASSIGNMENT_TIMEOUT} has passed.
 * @throws {Error} If the first revision can't be written to the platform stand-in.
 */
export async function startEmbeddedDeployment(
  settings: EmbeddedSettings,
): Promise<EmbeddedDeployment> {
  const backends = await startBackends(settings);
  const entries: EntryInstance[] = [];
  const platform = await startPlatformServer({
    listen: `${LOOPBACK}:0`,
    clock: systemClock,
    workers: backends.map(({ worker }) => worker),
    entries: createEntryLocations(settings),
    onInstanceRemoved: (instance) => {
      // A reclaimed worker or entry instance stops immediately and loses its requests in progress.
      void backends.find(({ worker }) => worker.id === instance)?.listener.close();
      void entries.find(({ self }) => self.id.startsWith(`${instance}#`))?.close();
    },
  });
  await writeFirstRevision(settings, platform.address);
  for (const entry of await startEntryInstances(settings, platform.address)) entries.push(entry);
  await waitForSlotOwners(entries);
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
  const workers = Object.entries(settings.workerCounts).flatMap(([service, count]) =>
    Array.from({ length: count }, (_, index) => ({ service, index })),
  );
  const started = workers.map(async ({ service, index }) => {
    const listener = await startBackendServer({
      listen: `${LOOPBACK}:0`,
      tokenInterval: TOKEN_TIME,
      clock: systemClock,
    });
    return { listener, worker: createWorker(settings, { service, index, backend: listener }) };
  });
  return Promise.all(started);
}

/**
 * Waits until every slot has a primary and, with more than one instance, a backup. Before that, a request may be
 * refused because no backup can store its record.
 */
async function waitForSlotOwners(entries: readonly EntryInstance[]): Promise<void> {
  const hasSlotOwners = ({ core }: EntryInstance): boolean =>
    core.configuration
      .slotMap()
      .slots.every(
        ({ primary, backup }) => primary !== "" && (backup !== "" || entries.length < 2),
      );
  const startedAt = systemClock.now();
  while (!entries.every(hasSlotOwners) && systemClock.now() - startedAt < SLOT_ASSIGNMENT_TIMEOUT) {
    await sleep(systemClock, SLOT_POLL_INTERVAL);
  }
}

function createEntryLocations({ entryInstanceCount, zones }: EmbeddedSettings): EntryLocation[] {
  return Array.from({ length: entryInstanceCount }, (_, index) => ({
    name: `entry-${index + 1}`,
    zone: zones[index % zones.length] ?? "",
  }));
}

function createWorker(
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

async function writeFirstRevision(settings: EmbeddedSettings, platform: string): Promise<void> {
  const store = createHttpObjectStore(platform);
  const { document: source, preset } = settings;
  const value = formatRevision({ source, preset, changes: [] });
  const outcome = await store.put(REVISION_KEY, value, { expect: 0 });
  store.close();
  if (outcome.kind !== "written")
    throw new Error(`Can't write the first revision to the store: ${outcome.kind}.`);
}

async function startEntryInstances(
  settings: EmbeddedSettings,
  platform: string,
): Promise<EntryInstance[]> {
  const entries: EntryInstance[] = [];
  for (let index = 0; index < settings.entryInstanceCount; index++) {
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
      descriptors: 4_200,
    };
    const started = await startEntry(entry, { clock: systemClock, random: systemRandom });
    if (settings.log !== undefined)
      startStateLog({ ...started.core, self: started.self }, settings.log);
    entries.push(started);
  }
  return entries;
}
