/**
 * The row `rotas`: six instances are stopped twice each under the load of one deployment, so that two or three stop at
 * once.
 *
 * @module
 */
import { sleep } from "../../src/interface/index.ts";
import type { Random } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { planSending, runZone } from "./rotas_clients.ts";
import type { ClientParts } from "./rotas_clients.ts";
import { createConnection } from "./rotas_connection.ts";
import type { KeptConnection, ObservedAnswer } from "./rotas_connection.ts";
import type { RotaFleet, RotaInstance } from "./rotas_fleet.ts";
import { drawRequest } from "./rotas_load.ts";
import {
  ROTA_ROUTES,
  ROTA_ZONES,
  rotaConfiguration,
  RotaRoute,
  RotaService,
} from "./rotas_site.ts";
import type { RotaRouteSpec } from "./rotas_site.ts";
import type { RotaWorker } from "./rotas_worker.ts";

/** What happens beside the stops. */
export enum RotaVariant {
  /** Nothing. */
  Plain = "plain",
  /** Workers announce that they leave, end, and are replaced. */
  Leaving = "leaving",
  /** Workers of a new version join, and those of the old one leave. */
  Released = "released",
  /** All engines are silent for a while within each stop. */
  Silent = "silent",
  /** The operator changes the configuration. */
  Changes = "changes",
  /** Many requests arrive at once, while a stopping instance ends its acceptance. */
  Bursts = "bursts",
}

/** Options of {@linkcode runRotas}. */
export interface RotaOptions {
  readonly fleet: RotaFleet;
  readonly random: Random;
  readonly variant: RotaVariant;
  readonly record: (answer: ObservedAnswer) => void;
}

/** Time before the first and after the last stop, in milliseconds. */
const LEAD_TIME = 4_000;
const END_TIME = 9_500;
/** Time between two stops, in milliseconds. */
const STOP_INTERVALS = { from: 1_700, to: 2_900 };
/** Time from the first stop of the first round to that of the second, in milliseconds. */
const ROUND_INTERVALS = { from: 16_000, to: 24_000 };
/** Interval of the requests that are sent to each stopping instance until it is gone, in milliseconds. */
const PROBE_INTERVAL = 200;
const PROBE_CONNECTIONS = 6;
/** Start after SIGTERM and length of the workers' silence, in milliseconds. */
const SILENCE = { from: 300, to: 3_200, length: 1_500 };
const CHANGE_INTERVAL = 700;
/** Timeouts of the plain routes that configurations alternate between, in milliseconds. */
const CHANGED_TARGETS = [300, 350];
const LEAVE_INTERVAL = 1_500;
/** Time from a worker's announcement to its end, in milliseconds: the drain time, and a little longer. */
const LEAVE_TIMES = { from: 2_000, to: 4_000 };
/** Times after SIGTERM of the bursts, in milliseconds, and the requests of one. */
const BURST_TIMES = [0, 1_500, 3_050, 3_150, 3_200, 3_250];
const BURST_REQUESTS = 12;

const ROUTE_OF_PROBES = {
  read: routeNamed(RotaRoute.Read),
  confirm: routeNamed(RotaRoute.Confirm),
};

/** Runs the row to the end of all its requests. */
export async function runRotas(options: RotaOptions): Promise<void> {
  const { fleet, random, record, variant } = options;
  let isActive = true;
  const parts: ClientParts = { fleet, random, record };
  const zones = ROTA_ZONES.map((zone) => runZone(zone, parts, () => isActive));
  const beside = runBeside(options, () => isActive);
  await sleep(systemClock, LEAD_TIME);
  const order = shuffled(fleet.instances, random);
  const startedAt = systemClock.now();
  const stops: Promise<void>[] = [];
  const stopAll = async (instances: readonly RotaInstance[]): Promise<void> => {
    for (const instance of instances) {
      stops.push(stopOne(instance, options));
      if (variant === RotaVariant.Silent) stops.push(silenceEngines(fleet, random));
      await sleep(systemClock, pickBetween(random, STOP_INTERVALS));
    }
  };
  await stopAll(order);
  const roundInterval = pickBetween(random, ROUND_INTERVALS);
  await sleep(systemClock, Math.max(0, startedAt + roundInterval - systemClock.now()));
  await stopAll(neighborsSwapped(order, random));
  await Promise.all(stops);
  await sleep(systemClock, END_TIME);
  isActive = false;
  await Promise.all([...zones, beside]);
}

/** Stops an instance and starts it again, while requests are sent to it until it is gone. */
async function stopOne(instance: RotaInstance, options: RotaOptions): Promise<void> {
  const { fleet, random, variant } = options;
  const connections = Array.from({ length: PROBE_CONNECTIONS }, () =>
    createConnection(instance.listen.callers),
  );
  await Promise.all(connections.map((one) => sendProbe(one, { ...options, source: "opener" })));
  const { process } = instance;
  const stopped = fleet.stopAndRestart(fleet.instances.indexOf(instance));
  const bursts =
    variant === RotaVariant.Bursts
      ? BURST_TIMES.map((time) => sendBurst(instance, { ...options, time }))
      : [];
  const probes: Promise<void>[] = [];
  while (!process.hasEnded) {
    const kept = connections.find(({ isIdle }) => isIdle);
    const connection = kept ?? createConnection(instance.listen.callers);
    // Plain requests, which don't prolong the stop.
    const route = random.next() < 0.5 ? ROUTE_OF_PROBES.read : ROUTE_OF_PROBES.confirm;
    probes.push(sendProbe(connection, { ...options, source: "probe", route }));
    if (kept === undefined) connections.push(connection);
    await sleep(systemClock, PROBE_INTERVAL);
  }
  await Promise.all([stopped, ...probes, ...bursts]);
  for (const connection of connections) connection.close();
}

async function sendBurst(
  instance: RotaInstance,
  options: RotaOptions & { readonly time: number },
): Promise<void> {
  await sleep(systemClock, options.time);
  const connections = Array.from({ length: BURST_REQUESTS }, () =>
    createConnection(instance.listen.callers),
  );
  const route = routeNamed(RotaRoute.Answer);
  await Promise.all(
    connections.map((one) => sendProbe(one, { ...options, source: "burst", route })),
  );
  for (const connection of connections) connection.close();
}

async function sendProbe(
  connection: KeptConnection,
  {
    random,
    record,
    source,
    route = routeNamed(RotaRoute.Read),
  }: RotaOptions & {
    readonly source: string;
    readonly route?: RotaRouteSpec;
  },
): Promise<void> {
  const request = drawRequest(random, route);
  record(await connection.send(planSending(request, { source, random })));
}

async function runBeside(
  { fleet, random, variant }: RotaOptions,
  isActive: () => boolean,
): Promise<void> {
  if (variant === RotaVariant.Changes) await changeConfigurations(fleet, isActive);
  if (variant === RotaVariant.Leaving) await replaceWorkers({ fleet, random, isActive });
  if (variant === RotaVariant.Released) {
    await replaceWorkers({ fleet, random, isActive, version: "v2" });
  }
}

async function changeConfigurations(fleet: RotaFleet, isActive: () => boolean): Promise<void> {
  for (let version = 2; isActive(); version++) {
    const target = CHANGED_TARGETS[version % CHANGED_TARGETS.length];
    fleet.platform.put("config", "main", rotaConfiguration(version, { slo_ms: target }));
    await sleep(systemClock, CHANGE_INTERVAL);
  }
}

/** Replaces engines one after the other, until all were replaced once or the run ends. */
async function replaceWorkers({
  fleet,
  random,
  isActive,
  version = "v1",
}: {
  readonly fleet: RotaFleet;
  readonly random: Random;
  readonly isActive: () => boolean;
  readonly version?: string;
}): Promise<void> {
  const engines = fleet.workers.filter(({ service }) => service === RotaService.Engine);
  const ends: Promise<void>[] = [];
  for (const worker of shuffled(engines, random)) {
    if (!isActive()) break;
    const { service, zone, slowness } = worker;
    const id = `${worker.id}-${version}-next`;
    const next = await fleet.startWorker({ id, service, zone, slowness });
    fleet.platform.put("servers", id, next.entry({ version }));
    ends.push(leave(worker, { fleet, random }));
    await sleep(systemClock, LEAVE_INTERVAL);
  }
  await Promise.all(ends);
}

async function leave(
  worker: RotaWorker,
  { fleet, random }: { readonly fleet: RotaFleet; readonly random: Random },
): Promise<void> {
  worker.isLeaving = true;
  const leavesIn = pickBetween(random, LEAVE_TIMES);
  const entry = worker.entry({ state: "draining", leaves_ms: Math.round(leavesIn), sequence: 2 });
  fleet.platform.put("servers", worker.id, entry);
  await sleep(systemClock, leavesIn);
  await fleet.endWorker(worker);
}

async function silenceEngines({ workers }: RotaFleet, random: Random): Promise<void> {
  await sleep(systemClock, pickBetween(random, SILENCE));
  for (const worker of workers) worker.isSilent = true;
  await sleep(systemClock, SILENCE.length);
  for (const worker of workers) worker.isSilent = false;
}

function routeNamed(wanted: RotaRoute): RotaRouteSpec {
  const route = ROTA_ROUTES.find(({ name }) => name === wanted);
  if (route === undefined) throw new Error(`there is no route ${wanted}`);
  return route;
}

function pickBetween(random: Random, { from, to }: { from: number; to: number }): number {
  return from + random.next() * (to - from);
}

function shuffled<T>(values: readonly T[], random: Random): T[] {
  return values
    .map((value) => ({ value, rank: random.next() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ value }) => value);
}

/** Swaps some neighbors, so that no value moves far. */
function neighborsSwapped<T>(values: readonly T[], random: Random): T[] {
  const swapped = [...values];
  for (let index = 0; index + 1 < swapped.length; index += 2) {
    if (random.next() < 0.5) swapped.splice(index, 2, ...swapped.slice(index, index + 2).reverse());
  }
  return swapped;
}
