import { expect, test } from "vitest";
import { formatRevision } from "../version/index.ts";
import { MINIMAL_DOCUMENT } from "../version/testing/minimal_revision.ts";
import { startCoreFleet } from "./testing/core_fleet.ts";

const SCRIPT = { body: '{"max_tokens":500}' };
const SCRIPT_TIME = 500 * 20;

function wholeAnswer(tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => `t${index} `).join("");
}

test("a planned stop lets a long script end, and takes nothing new from the first moment", async () => {
  // An operator drains an instance while it writes a long reel script. Cut short, the script would have to
  // be begun anew; a new request let in now would hold the stop up.
  const fleet = await startCoreFleet();
  const script = fleet.submit(0, SCRIPT);
  await fleet.clock.advance(200);
  let stopped = false;
  void fleet
    .core(0)
    .drain()
    .then(() => (stopped = true));
  const refused = fleet.submit(0);
  const elsewhere = fleet.submit(1);
  await fleet.clock.advance(3_000);
  expect(stopped).toBe(false);
  expect(refused.end).toBe("draining");
  expect(elsewhere.end).toBe("complete");
  await fleet.clock.advance(SCRIPT_TIME);
  expect([script.end, stopped]).toEqual(["complete", true]);
  expect(script.text).toBe(wholeAnswer(500));
  expect(fleet.engines.runs.filter((run) => run.resumedFrom > 0)).toEqual([]);
  fleet.close();
});

test("a second signal to stop doesn't cut what the first one waits for", async () => {
  // The machine's service manager sends SIGTERM twice, as some do when the first takes long.
  const fleet = await startCoreFleet();
  const script = fleet.submit(0, SCRIPT);
  await fleet.clock.advance(200);
  const first = fleet.core(0).drain();
  await fleet.clock.advance(1_000);
  const second = fleet.core(0).drain();
  await fleet.clock.advance(SCRIPT_TIME + 3_000);
  await Promise.all([first, second]);
  expect([script.end, script.text]).toEqual(["complete", wholeAnswer(500)]);
  fleet.close();
});

test("a reclaim during a planned stop hands the script over at once, with the store down", async () => {
  // The instance waits for its script when the cloud announces that it is taken in seconds. The store can't
  // be written either. The script must go on at the backup, from where it is.
  const fleet = await startCoreFleet();
  const script = fleet.submit(1, { ...SCRIPT, key: "reel" });
  await fleet.clock.advance(200);
  const owner = [0, 1, 2].find((index) => fleet.core(index).requests.inProgress() > 0) ?? 0;
  const reader = owner === 1 ? undefined : script;
  void fleet.core(owner).drain();
  await fleet.clock.advance(100);
  fleet.store.setDown(true);
  const handedOver = fleet.core(owner).reclaim(5_000);
  await fleet.clock.advance(4_000);
  await handedOver;
  fleet.kill(owner);
  await fleet.clock.advance(SCRIPT_TIME);
  expect(reader?.end).toBe("complete");
  expect(reader?.text).toBe(wholeAnswer(500));
  expect(fleet.engines.runs).toHaveLength(1);
  fleet.close();
});

test("a whole fleet replaced one after another loses no answer", async () => {
  // A new version is rolled out: each instance in turn is drained and ended while scripts run.
  const fleet = await startCoreFleet(4);
  const scripts = [];
  for (const index of [0, 1, 2]) {
    scripts.push(fleet.submit(index, SCRIPT), fleet.submit(3, { ...SCRIPT, key: `k${index}` }));
    await fleet.clock.advance(500);
    const stopped = fleet.core(index).drain();
    await fleet.clock.advance(SCRIPT_TIME + 5_000);
    await stopped;
    fleet.kill(index);
  }
  expect(new Set(scripts.map((script) => script.end))).toEqual(new Set(["complete"]));
  expect(new Set(scripts.map((script) => script.text))).toEqual(new Set([wholeAnswer(500)]));
  fleet.close();
});

test("a maintenance preset lets scripts end and takes no new work of the service", async () => {
  // An operator switches to maintenance in the evening. Scripts that run must end; a new one let in now
  // would be cut when the servers go.
  const fleet = await startCoreFleet();
  const script = fleet.submit(0, SCRIPT);
  await fleet.clock.advance(200);
  await fleet.use(MAINTENANCE);
  await fleet.clock.advance(5_000);
  const refused = [0, 1, 2].map((index) => fleet.submit(index));
  await fleet.clock.advance(SCRIPT_TIME);
  expect(refused.map(({ end }) => end)).toEqual(["draining", "draining", "draining"]);
  expect([script.end, script.text]).toEqual(["complete", wholeAnswer(500)]);
  fleet.close();
});

const MAINTENANCE = formatRevision({
  source: {
    ...MINIMAL_DOCUMENT,
    presets: {
      maintenance: { about: "A planned stop.", services: {}, paused: ["desk"] },
    },
  },
  preset: "maintenance",
  changes: [],
});
