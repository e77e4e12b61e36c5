import { REVISION_KEY } from "../../src/version/index.ts";
import { MINIMAL_DOCUMENT } from "../../src/version/testing/minimal_revision.ts";
import { formatRevision, parseRevision } from "../../src/version/index.ts";
import type { EntryCore } from "../../src/process/index.ts";
import type { CallerEvent } from "../../src/request/index.ts";
import { ACCOUNT, call, emptyNotes } from "./caller.ts";
import type { Notes, Reach } from "./caller.ts";
import { startFleet } from "./fleet.ts";
import type { Fleet, Instance } from "./fleet.ts";
import { brokenPromises } from "./promises.ts";
import type { Fault, Scenario } from "./scenario.ts";

/** Result of a scenario. */
export interface Outcome {
  /** Messages, one for each violation of a guarantee. */
  readonly broken: readonly string[];
  readonly notes: readonly Notes[];
}

/** Time between the reclaim notice and the termination of an instance, in milliseconds. */
const NOTICE = 4_000;
/** Time within which all callers must have ended, in milliseconds; longer than all faults together. */
const SETTLING = 60_000;
/** Milliseconds by which the virtual clock advances at a time. */
const STEP = 250;

/** Runs a scenario and checks the guarantees against the records of the callers and the backend servers. */
export async function play(scenario: Scenario): Promise<Outcome> {
  const fleet = await startFleet(scenario);
  const versions = fleet.instances.map((): number[] => []);
  const presets = new Map<number, string>();
  const notes = scenario.demands.map(emptyNotes);
  const calls = notes.map((log) => call(reachOf(fleet), log));
  for (const fault of scenario.faults) schedule(fleet, fault);
  let pending = calls.length;
  for (const caller of calls) void caller.then(() => pending--);
  const until = fleet.clock.now() + SETTLING;
  while (fleet.clock.now() < until && pending > 0) {
    await fleet.clock.advance(STEP);
    fleet.instances.forEach(({ core, gone }, index) => {
      const revision = core.configuration.revision();
      if (gone.signal.aborted || revision === undefined) return;
      versions[index]?.push(revision.version);
      presets.set(revision.version, revision.preset);
    });
  }
  const broken = brokenPromises({ scenario, notes, runs: fleet.engines.runs, versions });
  fleet.close();
  const waiting = pending > 0 ? [`${pending} callers are still waiting for an answer.`] : [];
  return { broken: [...broken, ...waiting], notes };
}

function reachOf(fleet: Fleet): Reach {
  const instanceAt = (index: number): Fleet["instances"][number] => {
    const instance = fleet.instances[index];
    if (instance === undefined) throw new Error(`fleet has no instance ${index}`);
    return instance;
  };
  return {
    clock: fleet.clock,
    open: () => fleet.instances.flatMap(({ gone }, index) => (gone.signal.aborted ? [] : [index])),
    submit: (instance, request, signal) =>
      gated(instanceAt(instance), (core) =>
        core.requests.submit(
          {
            account: ACCOUNT,
            service: "desk",
            model: "",
            path: "/v1/chat/completions",
            body: JSON.stringify({ max_tokens: request.tokens }),
            detached: request.detached,
            repeatable: request.repeatable,
            deadline: SETTLING / 2,
            fromToken: 0,
            ...(request.key === undefined ? {} : { key: request.key }),
          },
          signal,
        ),
      ),
    follow: (instance, { id, fromToken }, signal) =>
      gated(instanceAt(instance), (core) =>
        core.requests.follow(id, { account: ACCOUNT, fromToken, signal }),
      ),
    gone: (instance) => instanceAt(instance).gone.signal,
  };
}

/** Passes the events of a connection on; holds them back while the instance is frozen. */
async function* gated(
  { core, freezer }: Instance,
  open: (core: EntryCore) => AsyncIterable<CallerEvent>,
): AsyncGenerator<CallerEvent> {
  await freezer.gate();
  for await (const event of open(core)) {
    await freezer.gate();
    yield event;
  }
}

/** Schedules the start and the end of a fault on the virtual clock. */
function schedule(fleet: Fleet, fault: Fault): void {
  const { clock } = fleet;
  clock.after(fault.at, () => begin(fleet, fault));
  if ("span" in fault) clock.after(fault.at + fault.span, () => end(fleet, fault));
}

function begin(fleet: Fleet, fault: Fault): void {
  const { engines, network, store, instances } = fleet;
  const idAt = (index: number): string => instances[index]?.id ?? "";
  switch (fault.kind) {
    case "kill":
      fleet.kill(fault.instance);
      break;
    case "reclaim":
      reclaim(fleet, fault.instance);
      break;
    case "zone-reclaim":
      instances.forEach(({ zone }, index) => {
        if (zone === fault.zone) reclaim(fleet, index);
      });
      break;
    case "freeze":
      instances[fault.instance]?.freezer.freeze();
      break;
    case "cut":
      network.setCut(idAt(fault.a), idAt(fault.b), true);
      break;
    case "silence":
      network.silence(idAt(fault.a), idAt(fault.b));
      break;
    case "lose-answers":
      network.loseAnswers(idAt(fault.a), idAt(fault.b), fault.count);
      break;
    case "store-down":
      store.setDown(true);
      break;
    case "store-loses-answers":
      store.loseAnswers(fault.count);
      break;
    case "watches-silent":
      store.silenceWatches();
      break;
    case "worker-kill":
      engines.kill(`w${fault.worker}`);
      break;
    case "worker-silence":
      engines.silence(`w${fault.worker}`);
      break;
    case "operators":
      void operate(fleet, "day");
      void operate(fleet, "peak");
      break;
  }
}

function end(fleet: Fleet, fault: Extract<Fault, { span: number }>): void {
  const idAt = (index: number): string => fleet.instances[index]?.id ?? "";
  if (fault.kind === "store-down") fleet.store.setDown(false);
  if (fault.kind === "cut") fleet.network.setCut(idAt(fault.a), idAt(fault.b), false);
  if (fault.kind !== "freeze") return;
  const instance = fleet.instances[fault.instance];
  if (instance?.gone.signal.aborted === false) instance.freezer.wake();
}

function reclaim(fleet: Fleet, index: number): void {
  const instance = fleet.instances[index];
  if (instance === undefined || instance.gone.signal.aborted) return;
  // At least one instance of the fleet always remains.
  const remaining = fleet.instances.filter(({ gone }) => !gone.signal.aborted).length;
  if (remaining <= 1) return;
  void instance.freezer.gate().then(() => instance.core.reclaim(NOTICE));
  fleet.clock.after(NOTICE, () => fleet.kill(index));
}

/** Runs an operator's preset switch: reads the revision and writes the new one on condition of its version. */
async function operate(fleet: Fleet, preset: string): Promise<void> {
  const store = fleet.store.connect();
  const read = await store.get(REVISION_KEY);
  if (read.kind !== "found") return;
  const { changes } = parseRevision(read.object.version, read.object.value);
  const value = formatRevision({ source: MINIMAL_DOCUMENT, preset, changes: [preset, ...changes] });
  await store.put(REVISION_KEY, value, { expect: read.object.version });
}
