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

/** What a scenario came to. */
export interface Outcome {
  /** Each broken promise in a sentence. */
  readonly broken: readonly string[];
  readonly notes: readonly Notes[];
}

/** How long an instance under notice has, in milliseconds. */
const NOTICE = 4_000;
/** Milliseconds within which, all faults over, everything must have ended. */
const SETTLING = 60_000;
const STEP = 250;

/** Plays a scenario and checks the promises from the callers' and the backend servers' own records. */
export async function play(scenario: Scenario): Promise<Outcome> {
  const fleet = await startFleet(scenario);
  const versions = fleet.instances.map((): number[] => []);
  const presets = new Map<number, string>();
  const notes = scenario.demands.map(emptyNotes);
  const calls = notes.map((one) => call(reachOf(fleet), one));
  for (const fault of scenario.faults) schedule(fleet, fault);
  let open = calls.length;
  for (const one of calls) void one.then(() => open--);
  const until = fleet.clock.now() + SETTLING;
  while (fleet.clock.now() < until && open > 0) {
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
  const unanswered = open > 0 ? [`${open} callers still wait for an answer.`] : [];
  return { broken: [...broken, ...unanswered], notes };
}

function reachOf(fleet: Fleet): Reach {
  const coreAt = (index: number): Fleet["instances"][number] => {
    const instance = fleet.instances[index];
    if (instance === undefined) throw new Error(`The fleet has no instance ${index}.`);
    return instance;
  };
  return {
    clock: fleet.clock,
    open: () => fleet.instances.flatMap(({ gone }, index) => (gone.signal.aborted ? [] : [index])),
    submit: (instance, demand, signal) =>
      gated(coreAt(instance), (core) =>
        core.requests.submit(
          {
            account: ACCOUNT,
            service: "desk",
            model: "",
            path: "/v1/chat/completions",
            body: JSON.stringify({ max_tokens: demand.tokens }),
            detached: demand.detached,
            repeatable: demand.repeatable,
            deadline: SETTLING / 2,
            fromToken: 0,
            ...(demand.key === undefined ? {} : { key: demand.key }),
          },
          signal,
        ),
      ),
    follow: (instance, { id, fromToken }, signal) =>
      gated(coreAt(instance), (core) =>
        core.requests.follow(id, { account: ACCOUNT, fromToken, signal }),
      ),
    gone: (instance) => coreAt(instance).gone.signal,
  };
}

/** A connection to an instance: nothing passes while the instance is frozen. */
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

/** Puts a fault, and its end, on the clock. */
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
  // One instance of the fleet always stays.
  const left = fleet.instances.filter(({ gone }) => !gone.signal.aborted).length;
  if (left <= 1) return;
  void instance.freezer.gate().then(() => instance.core.reclaim(NOTICE));
  fleet.clock.after(NOTICE, () => fleet.kill(index));
}

/** An operator's command: read, switch the preset, write on condition. */
async function operate(fleet: Fleet, preset: string): Promise<void> {
  const store = fleet.store.connect();
  const read = await store.get(REVISION_KEY);
  if (read.kind !== "found") return;
  const { changes } = parseRevision(read.object.version, read.object.value);
  const value = formatRevision({ source: MINIMAL_DOCUMENT, preset, changes: [preset, ...changes] });
  await store.put(REVISION_KEY, value, { expect: read.object.version });
}
