import { expect, test } from "vitest";
import { planChange } from "./change.ts";
import type { PlannedChange } from "./change.ts";
import { parseRevision } from "./revision.ts";
import type { Revision } from "./revision.ts";
import { MINIMAL_DOCUMENT, MINIMAL_REVISION } from "./testing/minimal_revision.ts";

const BASE = parseRevision(1, MINIMAL_REVISION);

function withLane(lane: string): typeof MINIMAL_DOCUMENT {
  const { services } = MINIMAL_DOCUMENT;
  return { ...MINIMAL_DOCUMENT, services: { ...services, desk: { ...services.desk, lane } } };
}

function writtenRevision(planned: PlannedChange, version: number): Revision {
  if (planned.kind === "ended") throw new Error(`Nothing was written: ${planned.outcome.kind}.`);
  return parseRevision(version, planned.value);
}

test("a concurrent preset switch and service edit both take effect", () => {
  // One operator activates the preset "peak" while another edits a service. The store applies one of them first. If the
  // other overwrote it, either the preset switch or the edit would be lost.
  const edit = { kind: "deployment", id: "c1", source: withLane("script") } as const;
  const current = writtenRevision(planChange(edit, { base: BASE, current: BASE }), 2);
  const use = { kind: "preset", id: "c2", preset: "peak" } as const;
  const both = writtenRevision(planChange(use, { base: BASE, current }), 3);
  expect(both.preset).toBe("peak");
  expect(both.deployment.services["desk"]?.lane).toBe("script");
  expect(both.changes).toEqual(["c2", "c1"]);
});

test("two different edits of the same value end in a conflict that lists both values", () => {
  // Two operators change the same setting to different values. Neither change may be lost silently.
  const first = { kind: "preset", id: "c1", preset: "peak" } as const;
  const current = { ...writtenRevision(planChange(first, { base: BASE, current: BASE }), 2) };
  const document = {
    ...MINIMAL_DOCUMENT,
    presets: { ...MINIMAL_DOCUMENT.presets, night: MINIMAL_DOCUMENT.presets.day },
  };
  const withNight = writtenRevision(
    planChange({ kind: "deployment", id: "c2", source: document }, { base: BASE, current }),
    3,
  );
  const second = { kind: "preset", id: "c3", preset: "night" } as const;
  const planned = planChange(second, { base: BASE, current: withNight });
  expect(planned).toMatchObject({
    kind: "ended",
    outcome: {
      kind: "conflict",
      revision: 3,
      conflicts: [{ path: "preset in force", base: "day", ours: "night", theirs: "peak" }],
    },
  });
});

test("a change whose id is in the revision is accepted and not written again", () => {
  // The write took effect but its response was lost. A second write would undo later changes.
  const change = { kind: "preset", id: "c1", preset: "peak" } as const;
  const current = writtenRevision(planChange(change, { base: BASE, current: BASE }), 2);
  expect(planChange(change, { base: BASE, current })).toEqual({
    kind: "ended",
    outcome: { kind: "accepted", change: "c1", revision: 2 },
  });
});

test.each([
  [{ kind: "preset", id: "c", preset: "none" } as const, /"none" is not among/],
  [{ kind: "deployment", id: "c", source: withLane("fast") } as const, /services\.desk\.lane/],
  [
    {
      kind: "deployment",
      id: "c",
      source: { ...MINIMAL_DOCUMENT, presets: { peak: MINIMAL_DOCUMENT.presets.peak } },
    } as const,
    /"day" is not among/,
  ],
])("an invalid change is refused with the reason", (change, reason) => {
  const planned = planChange(change, { base: BASE, current: BASE });
  const outcome = planned.kind === "ended" ? planned.outcome : undefined;
  expect(outcome?.kind).toBe("refused");
  expect(outcome?.kind === "refused" ? outcome.reasons.join() : "").toMatch(reason);
});
