import { sleep } from "../interface/index.ts";
import type { Clock, ObjectStore, Random } from "../interface/index.ts";
import { deploymentSchema, parseRevision, planChange, REVISION_KEY } from "../version/index.ts";
import type { Change, ChangeOutcome, Revision } from "../version/index.ts";
import type { Configuration } from "./configuration.ts";

/** Time for which a store write is retried before the operator receives the outcome known so far, in milliseconds. */
const WRITE_TIMEOUT = 8_000;
/** Minimum and maximum backoff between two write attempts, in milliseconds. */
const MIN_BACKOFF = 50;
const MAX_BACKOFF = 1_000;
/** Number of recent revisions kept as merge bases for changes. */
const MAX_KEPT_REVISIONS = 16;

/** Applies operators' changes to the configuration. */
export interface OperatorChanges {
  /**
   * Applies a change by a conditional write to the store.
   *
   * @param change The change, with a unique id.
   * @param base Version of the revision that the change is based on. Defaults to this instance's active revision.
   */
  apply(change: Change, base?: number): Promise<ChangeOutcome>;
  /** Reads the outcome of a change from the store, for an operator whose response was lost. */
  ask(id: string): Promise<ChangeOutcome>;
  /** Stops following the configuration. */
  close(): void;
}

/** Dependencies of {@linkcode createOperatorChanges}. */
export interface OperatorChangesParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly configuration: Configuration;
}

/** Creates the service that applies operators' changes. */
export function createOperatorChanges(parts: OperatorChangesParts): OperatorChanges {
  const { configuration, store } = parts;
  const recentRevisions = new Map<number, Revision>();
  const keepRevision = (): void => {
    const revision = configuration.revision();
    if (revision === undefined) return;
    recentRevisions.set(revision.version, revision);
    const [oldest] = recentRevisions.keys();
    if (recentRevisions.size > MAX_KEPT_REVISIONS && oldest !== undefined)
      recentRevisions.delete(oldest);
  };
  const subscription = configuration.onChange(keepRevision);
  return {
    apply: async (change, base) => {
      keepRevision();
      const current = configuration.revision();
      if (current === undefined) return applyFirstDeployment(parts, change);
      const from = base === undefined ? current : recentRevisions.get(base);
      if (from === undefined) {
        return refused(
          change,
          `The change is based on revision ${base ?? 0}, which is no longer kept. Base it on the current revision, ${current.version}.`,
        );
      }
      return write(parts, { change, base: from, current });
    },
    ask: async (id) => {
      const read = await store.get(REVISION_KEY);
      if (read.kind !== "found") {
        const detail = `The store could not be read: ${read.kind}.`;
        return { kind: "unknown", change: id, detail };
      }
      configuration.hear(REVISION_KEY, read.object);
      const { changes, version } = parseRevision(read.object.version, read.object.value);
      if (changes.includes(id)) return { kind: "accepted", change: id, revision: version };
      // A write still in flight could be applied later, so the outcome is unknown and not refused.
      const detail = `It is not among the latest ${changes.length} changes up to revision ${version}.`;
      return { kind: "unknown", change: id, detail };
    },
    close: () => subscription.close(),
  };
}

/**
 * Applies the first deployment document. Only the store can confirm that none exists yet: an instance that hasn't
 * received the current revision must not overwrite it.
 */
async function applyFirstDeployment(
  parts: OperatorChangesParts,
  change: Change,
): Promise<ChangeOutcome> {
  if (change.kind !== "deployment") {
    return refused(change, "No deployment is active yet. Apply one first.");
  }
  const read = await parts.store.get(REVISION_KEY);
  if (read.kind !== "absent") {
    return refused(
      change,
      "This instance has not received a revision yet. Try again, or use another instance.",
    );
  }
  const parsed = deploymentSchema.safeParse(change.source);
  if (!parsed.success)
    return refused(change, "The document is invalid. Run samphireshore check FILE for details.");
  const [preset = ""] = Object.keys(parsed.data.presets);
  const emptyRevision = { version: 0, deployment: parsed.data, source: {}, preset, changes: [] };
  return write(parts, { change, base: emptyRevision, current: emptyRevision });
}

interface Attempt {
  readonly change: Change;
  readonly base: Revision;
  readonly current: Revision;
}

/** Retries the write until the store confirms an outcome or the timeout expires. */
async function write(parts: OperatorChangesParts, attempt: Attempt): Promise<ChangeOutcome> {
  const { clock, random, store, configuration } = parts;
  const { change, base } = attempt;
  const deadline = clock.now() + WRITE_TIMEOUT;
  let { current } = attempt;
  let mayBeWritten = false;
  for (let pause = MIN_BACKOFF; ; pause = Math.min(MAX_BACKOFF, 2 * pause)) {
    const planned = planChange(change, { base, current });
    if (planned.kind === "ended") return planned.outcome;
    const expect = current.version;
    const outcome = await store.put(REVISION_KEY, planned.value, { expect });
    if (outcome.kind === "written") {
      configuration.hear(REVISION_KEY, { version: outcome.version, value: planned.value });
      return { kind: "accepted", change: change.id, revision: outcome.version };
    }
    // After a lost response the same conditional write is sent again. If the first write was applied, the second one
    // gets a conflict, and the change's id in the stored revision identifies the write as this one.
    if (outcome.kind === "unknown") mayBeWritten = true;
    if (outcome.kind === "conflict" && outcome.current !== undefined) {
      const { version, value } = outcome.current;
      configuration.hear(REVISION_KEY, outcome.current);
      current = parseRevision(version, value);
      // The version has moved on, so an earlier write with the old version can no longer be applied.
      mayBeWritten = false;
      continue;
    }
    if (clock.now() >= deadline) return timeoutOutcome(change, { mayBeWritten, outcome });
    await sleep(clock, pause * (0.5 + random.next()));
  }
}

function timeoutOutcome(
  change: Change,
  { mayBeWritten, outcome }: { mayBeWritten: boolean; outcome: { readonly kind: string } },
): ChangeOutcome {
  if (!mayBeWritten) return refused(change, `The store does not accept writes: ${outcome.kind}.`);
  const detail = "The response to the write was lost, and the store has not responded since.";
  return { kind: "unknown", change: change.id, detail };
}

function refused(change: Change, reason: string): ChangeOutcome {
  return { kind: "refused", change: change.id, reasons: [reason] };
}
