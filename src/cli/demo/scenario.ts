import { Agent, request } from "undici";
import { sleep } from "../../interface/index.ts";
import type { Clock, Random } from "../../interface/index.ts";
import type { EmbeddedDeployment } from "../embedded_deployment.ts";
import { createCaller } from "./caller.ts";
import type { ErrandRecord } from "./caller.ts";
import { planLoad } from "./load.ts";
import type { PlannedErrand, Stream } from "./load.ts";
import { LEAVING_BOUND } from "./promises.ts";
import type { Evidence, LeavingServer, RecordedRuns } from "./promises.ts";

/** What the demonstration plays. */
export interface Scenario {
  readonly streams: readonly Stream[];
  /** Milliseconds over which requests arrive. */
  readonly duration: number;
  /** The availability zone that is taken back, when, and at how much notice. */
  readonly reclaim: { readonly zone: string; readonly at: number; readonly within: number };
  /** The preset that is put in force, and when. */
  readonly preset: { readonly name: string; readonly at: number };
  /** Milliseconds after which a caller gives an errand up. */
  readonly patience: number;
}

/** What playing needs besides the scenario. */
export interface Stage {
  readonly deployment: EmbeddedDeployment;
  readonly operatorKey: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Told of what happens, a line each. */
  readonly progress: (line: string) => void;
}

const POLL = 50;
const CONNECTIONS = 512;

/** Plays the scenario; resolves once every errand has its end. */
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

/** Takes the zone back; resolves, once the bound has passed, to what tells of its servers at the end. */
async function reclaimZone(
  { reclaim: { zone, at, within } }: Scenario,
  { deployment, clock, progress }: Stage,
): Promise<() => LeavingServer[]> {
  await sleep(clock, at);
  const taken = new Set(deployment.platform.cloud.reclaim({ zone, within }));
  progress(`the cloud takes ${zone} back in ${within / 1_000} s: ${[...taken].join(", ")}`);
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

/** Switches the preset as an operator does, and watches when each instance has it in force. */
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
