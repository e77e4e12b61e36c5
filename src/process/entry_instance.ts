import { randomBytes } from "node:crypto";
import { createWriteStream } from "node:fs";
import { readFile } from "node:fs/promises";
import type { RequestListener, Server } from "node:http";
import polka from "polka";
import {
  addCallerRoutes,
  addOperatorRoutes,
  createPeerClient,
  createHttpCloud,
  createHttpEngine,
  createHttpInstanceList,
  createHttpObjectStore,
  listenHttp,
  listenPeers,
  MAX_BODY_BYTES,
  sendJson,
} from "../connection/index.ts";
import type { Listener, PeerSecurity } from "../connection/index.ts";
import type { EntryLoad } from "../decision/index.ts";
import { Refusal } from "../interface/index.ts";
import type { Clock, Member, PeerHandlers, Random } from "../interface/index.ts";
import { createCallerLimits } from "./caller_limits.ts";
import type { LimitReport } from "./caller_limits.ts";
import { createEntryCore } from "./entry_core.ts";
import type { EntryCore } from "./entry_core.ts";
import type { EntrySettings } from "./settings.ts";
import { createStatsdSink } from "./statsd_sink.ts";

/** An entry instance that serves callers and peers over the network. */
export interface EntryInstance {
  /** The instance as its peers see it, with the bound addresses. */
  readonly self: Member;
  readonly core: EntryCore;
  /** Stops the instance and closes its sockets, clients and recording file. */
  close(): Promise<void>;
}

/** Process-level dependencies of an entry instance. */
export interface EntryRuntime {
  readonly clock: Clock;
  readonly random: Random;
  /** Reads the load of the process. Absent if the process runs more than this instance. */
  readonly readLoad?: () => EntryLoad;
  /** Called when callers lose something because a limit on what is kept for them was exceeded. */
  readonly onCallerLimit?: LimitReport;
}

/** Starts an entry instance. Resolves once a revision is known and requests are accepted. */
export async function startEntry(
  settings: EntrySettings,
  runtime: EntryRuntime,
): Promise<EntryInstance> {
  const security = await securityOf(settings);
  let count: (name: string) => void = () => undefined;
  const report: LimitReport = (limit, fields) => {
    count(`caller-limit.${limit}`);
    runtime.onCallerLimit?.(limit, fields);
  };
  const callers = createCallerLimits(settings, { clock: runtime.clock, report });
  const sockets = await bindSockets(settings, {
    security,
    limitCallers: (server) => callers.apply(server, MAX_BODY_BYTES),
  });
  const self: Member = {
    id: `${settings.name}#${randomBytes(6).toString("hex")}`,
    address: sockets.peers.address,
    callerAddress: sockets.callers.address,
    zone: settings.zone,
  };
  const store = createHttpObjectStore(settings.platform.objects);
  const { clock, random } = runtime;
  const engine = createHttpEngine({ clock, random });
  const cloud = createHttpCloud(settings.platform.cloud);
  const peers = createPeerClient({ self: self.id, clock, security });
  const recording = openRecording(settings.record);
  const sink = openSink(settings);
  const core = createEntryCore(
    {
      self,
      region: settings.region,
      seeds: settings.seeds,
      reread: settings.reread,
      ...recording.settings,
      ...(runtime.readLoad === undefined ? {} : { readLoad: runtime.readLoad }),
      ...(sink === undefined ? {} : { sink }),
    },
    {
      clock,
      random,
      store,
      engine,
      instances: createHttpInstanceList(settings.platform.instances),
      cloud,
      peers,
    },
  );
  count = (name) => core.counters.count(name);
  sockets.servePeers(core.handlers);
  const app = polka();
  const { operatorKey } = settings.secrets;
  const present = (): readonly Member[] => core.members.present();
  const secure = settings.tls !== undefined;
  const callerMemory = callers.memory;
  const parts = {
    ...core,
    callerMemory,
    clock,
    random,
    operatorKey,
    presentMembers: present,
    isSecure: secure,
  };
  addCallerRoutes(app, parts);
  addOperatorRoutes(app, parts);
  sockets.serveCallers((request, response) => {
    app.handler(request as polka.Request, response);
  });
  // Operator requests are served from here on, because the first deployment document is applied through an instance
  // that has no revision yet. Caller requests are refused until a revision is known.
  await core.start();
  return {
    self,
    core,
    close: async () => {
      core.close();
      await Promise.all([sockets.callers.close(), sockets.peers.close()]);
      peers.close();
      store.close();
      engine.close();
      cloud.close();
      sink?.close();
      await recording.close();
    },
  };
}

function openSink({
  statsd,
  name,
  zone,
}: EntrySettings): ReturnType<typeof createStatsdSink> | undefined {
  return statsd === undefined ? undefined : createStatsdSink(statsd, { instance: name, zone });
}

/** Opens the traffic recording file if the settings name one. */
function openRecording(file: string | undefined): {
  settings: { record?: (line: string) => void };
  close(): Promise<void>;
} {
  if (file === undefined) return { settings: {}, close: () => Promise.resolve() };
  const stream = createWriteStream(file);
  return {
    settings: { record: (line) => void stream.write(line) },
    close: () => new Promise((resolve) => stream.end(resolve)),
  };
}

interface Sockets {
  readonly callers: Listener;
  readonly peers: Listener;
  servePeers(handlers: PeerHandlers): void;
  serveCallers(handle: RequestListener): void;
}

/**
 * Binds both listeners before the tasks start, because the bound addresses are sent to peers. Requests that arrive
 * before the instance is ready are refused: the instance doesn't have the active configuration yet.
 */
async function bindSockets(
  settings: EntrySettings,
  options: {
    readonly security: PeerSecurity;
    readonly limitCallers: (server: Server) => void;
  },
): Promise<Sockets> {
  const { security, limitCallers } = options;
  let handle: RequestListener = (_request, response) => {
    sendJson(response, { error: { code: Refusal.CutOff, not_run: true } }, { status: 503 });
  };
  let handlers: PeerHandlers | undefined;
  const requireHandlers = (): PeerHandlers => {
    if (handlers === undefined)
      throw new Error("The instance does not accept peer messages yet: it is still starting.");
    return handlers;
  };
  const peers = await listenPeers(
    settings.peers,
    {
      replicate: (message) => requireHandlers().replicate(message),
      cede: (message) => requireHandlers().cede(message),
      probe: (message) => requireHandlers().probe(message),
      pull: (key) => requireHandlers().pull(key),
      relay: (message, signal) => requireHandlers().relay(message, signal),
      ask: (message) => requireHandlers().ask(message),
    },
    { security, onUnauthenticated: () => undefined },
  );
  const callers = await listenHttp(
    settings.callers,
    (request, response) => {
      handle(request, response);
    },
    { tls: security.tls, limitCallers },
  );
  return {
    callers,
    peers,
    servePeers: (peerHandlers) => {
      handlers = peerHandlers;
    },
    serveCallers: (callerHandler) => {
      handle = callerHandler;
    },
  };
}

/** Reads the TLS certificate of both listeners, which peers also trust as their certificate authority. */
async function securityOf({ secrets, tls }: EntrySettings): Promise<PeerSecurity> {
  if (tls === undefined) return { peerKey: secrets.peerKey };
  const [certificate, key] = await Promise.all([
    readFile(tls.certificate, "utf8"),
    readFile(tls.key, "utf8"),
  ]);
  return { peerKey: secrets.peerKey, tls: { certificate, key } };
}
