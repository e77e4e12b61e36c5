import { sleep } from "../interface/index.ts";
import type { Clock, ObjectStore, Random } from "../interface/index.ts";
import { deploymentSchema, parseRevision, planChange, REVISION_KEY } from "../version/index.ts";
import type { Change, ChangeOutcome, Revision } from "../version/index.ts";
import type { Configuration } from "./configuration.ts";

/** How long the store is tried before the operator is told what is known. */
const PATIENCE = 8_000;
/** Bounds of the pause between two tries, in milliseconds. */
const FIRST_PAUSE = 50;
const LONGEST_PAUSE = 1_000;
/** Revisions kept to merge changes that began from one of them. */
const REMEMBERED_REVISIONS = 16;

/** Puts operators' changes in force. */
export interface OperatorChanges {
  /**
   * Puts a change in force by a conditional write.
   *
   * @param change What is to be changed, with a unique id.
   * @param base The revision that the change began from; absent for the one in force here.
   */
  apply(change: Change, base?: number): Promise<ChangeOutcome>;
  /** Asks the store what became of a change whose answer was lost. */
  ask(id: string): Promise<ChangeOutcome>;
  close(): void;
}

/** What the operators' changes are made with. */
export interface ChangesParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly configuration: Configuration;
}

/** Makes the task for operators' changes. */
export function createOperatorChanges(parts: ChangesParts): OperatorChanges {
  const { configuration, store } = parts;
  const earlier = new Map<number, Revision>();
  const remember = (): void => {
    const revision = configuration.revision();
    if (revision === undefined) return;
    earlier.set(revision.version, revision);
    const [oldest] = earlier.keys();
    if (earlier.size > REMEMBERED_REVISIONS && oldest !== undefined) earlier.delete(oldest);
  };
  const subscription = configuration.onChange(remember);
  return {
    apply: async (change, base) => {
      remember();
      const current = configuration.revision();
      if (current === undefined) return applyFirst(parts, change);
      const from = base === undefined ? current : earlier.get(base);
      if (from === undefined) {
        return refused(
          change,
          `The change began from revision ${base ?? 0}, which is no longer known; the one in force is ${current.version}. Begin from that.`,
        );
      }
      return write(parts, { change, base: from, current });
    },
    ask: async (id) => {
      const read = await store.get(REVISION_KEY);
      if (read.kind !== "found") {
        const detail = `The store could not be asked: ${read.kind}.`;
        return { kind: "unknown", change: id, detail };
      }
      configuration.hear(REVISION_KEY, read.object);
      const { changes, version } = parseRevision(read.object.version, read.object.value);
      if (changes.includes(id)) return { kind: "accepted", change: id, revision: version };
      // A write that is still under way could yet be applied, so this is not called refused.
      const detail = `It is not among the latest ${changes.length} changes up to revision ${version}.`;
      return { kind: "unknown", change: id, detail };
    },
    close: () => subscription.close(),
  };
}

/**
 * Puts a deployment's first document in force. Only the store can say that there is none yet: an instance
 * that merely has not heard of one must not write over it.
 */
async function applyFirst(parts: ChangesParts, change: Change): Promise<ChangeOutcome> {
  if (change.kind !== "deployment") {
    return refused(change, "No deployment is in force yet; apply one first.");
  }
  const read = await parts.store.get(REVISION_KEY);
  if (read.kind !== "absent") {
    return refused(change, "This instance knows no revision yet; try again, or another one.");
  }
  const parsed = deploymentSchema.safeParse(change.source);
  if (!parsed.success) return refused(change, "The document has faults; samphireshore check FILE.");
  const [preset = ""] = Object.keys(parsed.data.presets);
  const nothing = { version: 0, deployment: parsed.data, source: {}, preset, changes: [] };
  return write(parts, { change, base: nothing, current: nothing });
}

interface Attempt {
  readonly change: Change;
  readonly base: Revision;
  readonly current: Revision;
}

/** Writes until the store has answered for certain or the patience is over. */
async function write(parts: ChangesParts, attempt: Attempt): Promise<ChangeOutcome> {
  const { clock, random, store, configuration } = parts;
  const { change, base } = attempt;
  const deadline = clock.now() + PATIENCE;
  let { current } = attempt;
  let mayBeWritten = false;
  for (let pause = FIRST_PAUSE; ; pause = Math.min(LONGEST_PAUSE, 2 * pause)) {
    const planned = planChange(change, { base, current });
    if (planned.kind === "ended") return planned.outcome;
    const expect = current.version;
    const outcome = await store.put(REVISION_KEY, planned.value, { expect });
    if (outcome.kind === "written") {
      configuration.hear(REVISION_KEY, { version: outcome.version, value: planned.value });
      return { kind: "accepted", change: change.id, revision: outcome.version };
    }
    // The same conditional write is sent again after a lost answer: if the first one stands, the second
    // meets a conflict, and the change's id in the revision tells that it was ours.
    if (outcome.kind === "unknown") mayBeWritten = true;
    if (outcome.kind === "conflict" && outcome.current !== undefined) {
      const { version, value } = outcome.current;
      configuration.hear(REVISION_KEY, outcome.current);
      current = parseRevision(version, value);
      // Whoever wrote this version, an earlier write of ours can no longer be applied.
      mayBeWritten = false;
      continue;
    }
    if (clock.now() >= deadline) return givenUp(change, { mayBeWritten, outcome });
    await sleep(clock, pause * (0.5 + random.next()));
  }
}

function givenUp(
  change: Change,
  { mayBeWritten, outcome }: { mayBeWritten: boolean; outcome: { readonly kind: string } },
): ChangeOutcome {
  if (!mayBeWritten) return refused(change, `The store takes no writes: ${outcome.kind}.`);
  const detail = "The write's answer was lost, and the store has not answered since.";
  return { kind: "unknown", change: change.id, detail };
}

function refused(change: Change, reason: string): ChangeOutcome {
  return { kind: "refused", change: change.id, reasons: [reason] };
}
