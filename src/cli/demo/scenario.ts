import { Agent, request } from "undici";
import { sleep } from "../../interface/index.ts";
import type { Clock, Random } from "../../interface/index.ts";
import type { EmbeddedDeployment } from "../embedded_deployment.ts";
import { createCaller } from "./caller.ts";
import type { RequestResult } from "./caller.ts";
import { scheduleLoad } from "./load.ts";
import type { ScheduledRequest, RequestStream } from "./load.ts";
import { MAX_DISPATCH_TIME_AFTER_NOTICE } from "./guarantees.ts";
import type { RunRecords, ReclaimedServer, RunCount } from "./guarantees.ts";

/** The load and the disturbances of the demo run. Times are milliseconds since its start. */
export interface Scenario {
  readonly streams: readonly RequestStream[];
  /** Milliseconds during which requests are sent. */
  readonly duration: number;
  /** The availability zone to reclaim, the time of the notice, and the notice period in milliseconds. */
  readonly reclaim: { readonly zone: string; readonly at: number; readonly within: number };
  /** The preset to switch to, and the time of the switch. */
  readonly preset: { readonly name: string; readonly at: number };
  /** Milliseconds after which a caller abandons a request. */
  readonly requestTimeout: number;
}

/** The deployment and the sources of time and randomness that a scenario runs with. */
export interface ScenarioContext {
  readonly deployment: EmbeddedDeployment;
  readonly operatorKey: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Receives one line of text for each event of the run. */
  readonly logProgress: (line: string) => void;
}

/** Interval between two checks of the preset in force, in milliseconds. */
const POLL_INTERVAL = 50;
/** Maximum number of connections to one entry instance. */
const MAX_CONNECTIONS = 512;

/** Runs the scenario; resolves once the outcome of every request is known. */
export async function runScenario(
  scenario: Scenario,
  context: ScenarioContext,
): Promise<RunRecords> {
  const { deployment, clock, random, logProgress } = context;
  const agent = new Agent({ connections: MAX_CONNECTIONS });
  const caller = createCaller({
    clock,
    random,
    agent,
    initialAddresses: deployment.entries.map((entry) => entry.self.callerAddress),
    timeout: scenario.requestTimeout,
  });
  const load = scheduleLoad(scenario.streams, { random, duration: scenario.duration });
  logProgress(`${load.length} requests over ${scenario.duration / 1_000} s`);
  const [results, getReclaimedServers, preset] = await Promise.all([
    sendLoad(load, { send: (loadRequest) => caller.send(loadRequest), clock }),
    reclaimZone(scenario, context),
    switchPreset(scenario, context),
  ]);
  await agent.close();
  return {
    results,
    runCounts: collectRunCounts(deployment),
    reclaimedServers: getReclaimedServers(),
    ...preset,
  };
}

function sendLoad(
  load: readonly ScheduledRequest[],
  {
    send,
    clock,
  }: {
    send: (loadRequest: ScheduledRequest["loadRequest"]) => Promise<RequestResult>;
    clock: Clock;
  },
): Promise<RequestResult[]> {
  return Promise.all(
    load.map(async ({ startTime, loadRequest }) => {
      await sleep(clock, startTime);
      return send(loadRequest);
    }),
  );
}

/**
 * Reclaims the zone and counts the requests started on its backend servers, first when
 * {@linkcode MAX_DISPATCH_TIME_AFTER_NOTICE} has passed since the notice.
 *
 * @returns A function that counts again at the end of the run and returns both counts for each server.
 */
async function reclaimZone(
  { reclaim: { zone, at, within } }: Scenario,
  { deployment, clock, logProgress }: ScenarioContext,
): Promise<() => ReclaimedServer[]> {
  await sleep(clock, at);
  const reclaimed = new Set(deployment.platform.cloud.reclaim({ zone, within }));
  logProgress(
    `reclaim notice for ${zone}, ${within / 1_000} s ahead: ${[...reclaimed].join(", ")}`,
  );
  await sleep(clock, MAX_DISPATCH_TIME_AFTER_NOTICE);
  const servers = deployment.backends.filter(({ worker }) => reclaimed.has(worker.id));
  const startedBeforeLimit = servers.map(({ listener }) => sumRuns(listener.runs));
  return () =>
    servers.map(({ worker, listener }, index) => ({
      worker: worker.id,
      startedBeforeLimit: startedBeforeLimit[index] ?? 0,
      startedAtEnd: sumRuns(listener.runs),
    }));
}

function sumRuns(runs: ReadonlyMap<string, number>): number {
  return [...runs.values()].reduce((sum, count) => sum + count, 0);
}

function collectRunCounts({ backends }: EmbeddedDeployment): RunCount[] {
  return backends.flatMap(({ worker, listener }) =>
    [...listener.runs].map(([requestId, count]) => ({ requestId, worker: worker.id, count })),
  );
}

/** Switches the preset through the operators' API and measures when each remaining instance has it in force. */
async function switchPreset(
  { preset: { name, at }, reclaim }: Scenario,
  { deployment, operatorKey, clock, logProgress }: ScenarioContext,
): Promise<Pick<RunRecords, "presetDelays" | "presetsAfterSwitch">> {
  await sleep(clock, at);
  const remaining = deployment.entries.filter(({ self }) => self.zone !== reclaim.zone);
  const response = await request(
    `http://${remaining[0]?.self.callerAddress ?? ""}/v1/operator/preset/${name}`,
    { method: "PUT", headers: { authorization: `Bearer ${operatorKey}` }, body: "{}" },
  );
  await response.body.dump();
  const acceptedAt = clock.now();
  logProgress(`preset ${name}: status ${response.statusCode}`);
  const delays = remaining.map(async ({ core }) => {
    while (core.configuration.revision()?.preset !== name) await sleep(clock, POLL_INTERVAL);
    return clock.now() - acceptedAt;
  });
  const presetDelays = await Promise.all(delays);
  const presets = remaining.map(({ core }) => core.configuration.revision()?.preset ?? "");
  return { presetDelays, presetsAfterSwitch: [...new Set(presets)] };
}
