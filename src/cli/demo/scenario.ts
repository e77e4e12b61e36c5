import { Agent, request } from "undici";
import { sleep } from "../../interface/index.ts";
import type { Clock, Random } from "../../interface/index.ts";
import type { EmbeddedDeployment } from "../embedded_deployment.ts";
import { createCaller } from "./caller.ts";
import type { ErrandRecord } from "./caller.ts";
import { planLoad } from "./load.ts";
import type { PlannedErrand, Stream } from "./load.ts";
import { LEAVING_BOUND } from "./guarantees.ts";
import type { Evidence, LeavingServer, RecordedRuns } from "./guarantees.ts";

/** The load and the disturbances of the demo run. Times are milliseconds since its start. */
export interface Scenario {
  readonly streams: readonly Stream[];
  /** Milliseconds during which requests are sent. */
  readonly duration: number;
  /** The availability zone to reclaim, the time of the notice, and the notice period in milliseconds. */
  readonly reclaim: { readonly zone: string; readonly at: number; readonly within: number };
  /** The preset to switch to, and the time of the switch. */
  readonly preset: { readonly name: string; readonly at: number };
  /** Milliseconds after which a caller abandons a request. */
  readonly patience: number;
}

/** The deployment and the sources of time and randomness that a scenario runs with. */
export interface Stage {
  readonly deployment: EmbeddedDeployment;
  readonly operatorKey: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Receives one line of text for each event of the run. */
  readonly progress: (line: string) => void;
}

/** Milliseconds between two checks whether a preset is in force. */
const POLL = 50;
/** Maximum number of connections to one entry instance. */
const CONNECTIONS = 512;

/** Runs the scenario; resolves once the outcome of every request is known. */
export async function play(scenario: Scenario, stage: Stage): Promise<Evidence> {
  const { deployment, clock, random, progress } = stage;
  const agent = new Agent({ connections: CONNECTIONS });
  const caller = createCaller({
    clock,
    random,
    agent,
    addresses: deployment.entries.map((entry) => entry.self.callerAddress),
    patience: scenario.patience,
  });
  const load = planLoad(scenario.streams, { random, duration: scenario.duration });
  progress(`${load.length} requests over ${scenario.duration / 1_000} s`);
  const [errands, leaving, preset] = await Promise.all([
    runAll(load, { run: (errand) => caller.run(errand), clock }),
    reclaimZone(scenario, stage),
    switchPreset(scenario, stage),
  ]);
  await agent.close();
  return { errands, runs: runsOf(deployment), leaving: leaving(), ...preset };
}

function runAll(
  load: readonly PlannedErrand[],
  { run, clock }: { run: (errand: PlannedErrand["errand"]) => Promise<ErrandRecord>; clock: Clock },
): Promise<ErrandRecord[]> {
  return Promise.all(
    load.map(async ({ at, errand }) => {
      await sleep(clock, at);
      return run(errand);
    }),
  );
}

/**
 * Reclaims the zone and counts the requests started on its backend servers, first at {@linkcode LEAVING_BOUND}
 * after the notice.
 *
 * @returns A function that counts again at the end of the run and returns both counts for each server.
 */
async function reclaimZone(
  { reclaim: { zone, at, within } }: Scenario,
  { deployment, clock, progress }: Stage,
): Promise<() => LeavingServer[]> {
  await sleep(clock, at);
  const taken = new Set(deployment.platform.cloud.reclaim({ zone, within }));
  progress(`reclaim notice for ${zone}, ${within / 1_000} s ahead: ${[...taken].join(", ")}`);
  await sleep(clock, LEAVING_BOUND);
  const servers = deployment.backends.filter(({ worker }) => taken.has(worker.id));
  const byBound = servers.map(({ listener }) => begun(listener.runs));
  return () =>
    servers.map(({ worker, listener }, index) => ({
      worker: worker.id,
      begunByBound: byBound[index] ?? 0,
      begunAtEnd: begun(listener.runs),
    }));
}

function begun(runs: ReadonlyMap<string, number>): number {
  return [...runs.values()].reduce((sum, count) => sum + count, 0);
}

function runsOf({ backends }: EmbeddedDeployment): RecordedRuns[] {
  return backends.flatMap(({ worker, listener }) =>
    [...listener.runs].map(([id, count]) => ({ id, worker: worker.id, count })),
  );
}

/** Switches the preset through the operators' API and measures when each remaining instance has it in force. */
async function switchPreset(
  { preset: { name, at }, reclaim }: Scenario,
  { deployment, operatorKey, clock, progress }: Stage,
): Promise<Pick<Evidence, "presetDelays" | "presetsAfterSwitch">> {
  await sleep(clock, at);
  const left = deployment.entries.filter(({ self }) => self.zone !== reclaim.zone);
  const answer = await request(
    `http://${left[0]?.self.callerAddress ?? ""}/v1/operator/preset/${name}`,
    { method: "PUT", headers: { authorization: `Bearer ${operatorKey}` }, body: "{}" },
  );
  await answer.body.dump();
  const acceptedAt = clock.now();
  progress(`preset ${name}: status ${answer.statusCode}`);
  const inForce = left.map(async ({ core }) => {
    while (core.configuration.revision()?.preset !== name) await sleep(clock, POLL);
    return clock.now() - acceptedAt;
  });
  const presetDelays = await Promise.all(inForce);
  const seen = left.map(({ core }) => core.configuration.revision()?.preset ?? "");
  return { presetDelays, presetsAfterSwitch: [...new Set(seen)] };
}
