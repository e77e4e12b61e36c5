/**
 * Runs one scenario of the fault simulation.
 *
 * Real entry cores run over a virtual clock with an in-memory store, network and backend servers. Callers submit
 * requests while faults are injected. Afterwards the records of the callers and the backend servers show whether a
 * request ran twice, was lost or received a wrong answer.
 *
 * @module
 */
import { REVISION_KEY } from "../../src/version/index.ts";
import { MINIMAL_DOCUMENT } from "../../src/version/testing/minimal_revision.ts";
import { formatRevision, parseRevision } from "../../src/version/index.ts";
import type { EntryCore } from "../../src/process/index.ts";
import type { CallerEvent } from "../../src/request/index.ts";
import { ACCOUNT, runCaller, createCallerLog } from "./caller.ts";
import type { CallerLog, FleetClient } from "./caller.ts";
import { startFleet } from "./fleet.ts";
import type { Fleet, Instance } from "./fleet.ts";
import { findViolations } from "./guarantees.ts";
import type { Fault, Scenario } from "./scenario.ts";

/** Result of a scenario. */
export interface ScenarioResult {
  /** Messages, one for each violation of a guarantee. */
  readonly violations: readonly string[];
  readonly callerLogs: readonly CallerLog[];
}

/** Time between the reclaim notice and the termination of an instance, in milliseconds. */
const RECLAIM_NOTICE = 4_000;
/** Time within which all faults are over and all callers must have received a final state, in milliseconds. */
const SETTLE_TIMEOUT = 60_000;
/** Milliseconds by which the virtual clock advances at a time. */
const CLOCK_STEP = 250;

/** Runs a scenario and checks the guarantees against the records of the callers and the backend servers. */
export async function runScenario(scenario: Scenario): Promise<ScenarioResult> {
  const fleet = await startFleet(scenario);
  const versions = fleet.instances.map((): number[] => []);
  const presets = new Map<number, string>();
  const callerLogs = scenario.demands.map(createCallerLog);
  const calls = callerLogs.map((log) => runCaller(createFleetClient(fleet), log));
  for (const fault of scenario.faults) scheduleFault(fleet, fault);
  let pending = calls.length;
  for (const caller of calls) void caller.then(() => pending--);
  const until = fleet.clock.now() + SETTLE_TIMEOUT;
  while (fleet.clock.now() < until && pending > 0) {
    await fleet.clock.advance(CLOCK_STEP);
    fleet.instances.forEach(({ core, termination }, index) => {
      const revision = core.configuration.revision();
      if (termination.signal.aborted || revision === undefined) return;
      versions[index]?.push(revision.version);
      presets.set(revision.version, revision.preset);
    });
  }
  const violations = findViolations({ scenario, callerLogs, runs: fleet.engines.runs, versions });
  fleet.close();
  const waiting = pending > 0 ? [`${pending} callers are still waiting for an answer.`] : [];
  return { violations: [...violations, ...waiting], callerLogs };
}

function createFleetClient(fleet: Fleet): FleetClient {
  const instanceAt = (index: number): Fleet["instances"][number] => {
    const instance = fleet.instances[index];
    if (instance === undefined) throw new Error(`fleet has no instance ${index}`);
    return instance;
  };
  return {
    clock: fleet.clock,
    runningInstances: () =>
      fleet.instances.flatMap(({ termination }, index) =>
        termination.signal.aborted ? [] : [index],
      ),
    submit: (instance, request, signal) =>
      gateEvents(instanceAt(instance), (core) =>
        core.requests.submit(
          {
            account: ACCOUNT,
            service: "desk",
            model: "",
            path: "/v1/chat/completions",
            body: JSON.stringify({ max_tokens: request.tokens }),
            detached: request.detached,
            repeatable: request.repeatable,
            deadline: SETTLE_TIMEOUT / 2,
            fromToken: 0,
            ...(request.key === undefined ? {} : { key: request.key }),
          },
          signal,
        ),
      ),
    follow: (instance, { id, fromToken }, signal) =>
      gateEvents(instanceAt(instance), (core) =>
        core.requests.follow(id, { account: ACCOUNT, fromToken, signal }),
      ),
    terminationSignal: (instance) => instanceAt(instance).termination.signal,
  };
}

/** Passes the events of a connection on; holds them back while the instance is frozen. */
async function* gateEvents(
  { core, pauseControl }: Instance,
  connect: (core: EntryCore) => AsyncIterable<CallerEvent>,
): AsyncGenerator<CallerEvent> {
  await pauseControl.whenRunning();
  for await (const event of connect(core)) {
    await pauseControl.whenRunning();
    yield event;
  }
}

/** Schedules the start and the end of a fault on the virtual clock. */
function scheduleFault(fleet: Fleet, fault: Fault): void {
  const { clock } = fleet;
  clock.after(fault.at, () => startFault(fleet, fault));
  if ("span" in fault) clock.after(fault.at + fault.span, () => endFault(fleet, fault));
}

function startFault(fleet: Fleet, fault: Fault): void {
  const { engines, network, store, instances } = fleet;
  const idAt = (index: number): string => instances[index]?.id ?? "";
  switch (fault.kind) {
    case "kill":
      fleet.kill(fault.instance);
      break;
    case "reclaim":
      reclaimInstance(fleet, fault.instance);
      break;
    case "zone-reclaim":
      instances.forEach(({ zone }, index) => {
        if (zone === fault.zone) reclaimInstance(fleet, index);
      });
      break;
    case "freeze":
      instances[fault.instance]?.pauseControl.pause();
      break;
    case "cut":
      network.setPartitioned(idAt(fault.a), idAt(fault.b), true);
      break;
    case "silence":
      network.hangOpenConnections(idAt(fault.a), idAt(fault.b));
      break;
    case "lose-answers":
      network.dropResponses(idAt(fault.a), idAt(fault.b), fault.count);
      break;
    case "store-down":
      store.setUnavailable(true);
      break;
    case "store-loses-answers":
      store.dropResponses(fault.count);
      break;
    case "watches-silent":
      store.hangOpenWatches();
      break;
    case "worker-kill":
      engines.kill(`w${fault.worker}`);
      break;
    case "worker-silence":
      engines.hangOpenConnections(`w${fault.worker}`);
      break;
    case "operators":
      void switchPreset(fleet, "day");
      void switchPreset(fleet, "peak");
      break;
  }
}

function endFault(fleet: Fleet, fault: Extract<Fault, { span: number }>): void {
  const idAt = (index: number): string => fleet.instances[index]?.id ?? "";
  if (fault.kind === "store-down") fleet.store.setUnavailable(false);
  if (fault.kind === "cut") fleet.network.setPartitioned(idAt(fault.a), idAt(fault.b), false);
  if (fault.kind !== "freeze") return;
  const instance = fleet.instances[fault.instance];
  if (instance?.termination.signal.aborted === false) instance.pauseControl.resume();
}

function reclaimInstance(fleet: Fleet, index: number): void {
  const instance = fleet.instances[index];
  if (instance === undefined || instance.termination.signal.aborted) return;
  // The last running instance is not reclaimed. Instances with a pending reclaim still count as running.
  const remaining = fleet.instances.filter(({ termination }) => !termination.signal.aborted).length;
  if (remaining <= 1) return;
  void instance.pauseControl.whenRunning().then(() => instance.core.reclaim(RECLAIM_NOTICE));
  fleet.clock.after(RECLAIM_NOTICE, () => fleet.kill(index));
}

/** Runs an operator's preset switch: reads the revision and writes the new one on condition of its version. */
async function switchPreset(fleet: Fleet, preset: string): Promise<void> {
  const store = fleet.store.connect();
  const read = await store.get(REVISION_KEY);
  if (read.kind !== "found") return;
  const { changes } = parseRevision(read.object.version, read.object.value);
  const value = formatRevision({ source: MINIMAL_DOCUMENT, preset, changes: [preset, ...changes] });
  await store.put(REVISION_KEY, value, { expect: read.object.version });
}
