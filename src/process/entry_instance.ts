import { randomBytes } from "node:crypto";
import polka from "polka";
import {
  addCallerRoutes,
  addOperatorRoutes,
  createHttpEngine,
  createHttpInstanceList,
  createHttpObjectStore,
  listenHttp,
} from "../connection/index.ts";
import type { Clock, Cloud, Peers, Random } from "../interface/index.ts";
import { createEntryCore } from "./entry_core.ts";
import type { EntryCore } from "./entry_core.ts";
import type { EntrySettings } from "./settings.ts";

/** A running entry instance. */
export interface EntryInstance {
  /** `IP:PORT` for callers, as bound. */
  readonly callers: string;
  readonly core: EntryCore;
  close(): Promise<void>;
}

/** Starts an entry instance; resolves once it knows a revision and listens. */
export async function startEntry(
  settings: EntrySettings,
  { clock, random }: { clock: Clock; random: Random },
): Promise<EntryInstance> {
  const store = createHttpObjectStore(settings.platform.objects);
  const engine = createHttpEngine();
  const core = createEntryCore(
    {
      self: {
        id: `${settings.name}#${randomBytes(6).toString("hex")}`,
        address: settings.peers,
        callerAddress: settings.callers,
        zone: settings.zone,
      },
      region: settings.region,
      seeds: settings.seeds,
    },
    {
      clock,
      random,
      store,
      engine,
      instances: createHttpInstanceList(settings.platform.instances),
      cloud: NO_CLOUD,
      peers: NO_PEERS,
    },
  );
  await core.start();
  const app = polka();
  const parts = {
    ...core,
    clock,
    random,
    store,
    operatorKey: settings.secrets.operatorKey,
  };
  addCallerRoutes(app, parts);
  addOperatorRoutes(app, parts);
  const listener = await listenHttp(settings.callers, (request, response) => {
    app.handler(request as polka.Request, response);
  });
  return {
    callers: listener.address,
    core,
    close: async () => {
      core.close();
      await listener.close();
      store.close();
      engine.close();
    },
  };
}

const NO_PEERS: Peers = {
  replicate: () => Promise.reject(new Error("There are no peers yet.")),
  cede: () => Promise.reject(new Error("There are no peers yet.")),
  probe: () => Promise.reject(new Error("There are no peers yet.")),
  pull: () => Promise.resolve(undefined),
  relay: () => {
    throw new Error("There are no peers yet.");
  },
  ask: () => Promise.reject(new Error("There are no peers yet.")),
  close: () => undefined,
};

const NO_CLOUD: Cloud = {
  launch: () => Promise.resolve({ kind: "refused", reason: "There is no cloud yet." }),
  terminate: () => Promise.resolve(),
  notices: () => Promise.resolve([]),
};
