import { expect, test } from "vitest";
import { sleep, WorkerState } from "../interface/index.ts";
import { systemClock } from "../process/index.ts";
import { startEmbedded } from "./embedded_deployment.ts";
import { accountKeys, ASSOCIATION, documentValue } from "./template/index.ts";

const CLIENT_KEY = "client-key-of-tests";

test("a zone's notice makes its workers and its entry instance leave at every instance", async () => {
  // The cloud takes a zone back. Callers of the other instances must get answers from other workers, and
  // nobody may be told to use the entry instance that goes.
  const deployment = await startEmbedded({
    port: 0,
    entryInstances: 3,
    workers: { "finish-desk": 3 },
    zones: ASSOCIATION.zones,
    source: documentValue(ASSOCIATION, accountKeys(ASSOCIATION, { "club-sofia": CLIENT_KEY })),
    preset: "day",
    operatorKey: "operator-key-of-tests",
  });
  try {
    const zone = ASSOCIATION.zones[0] ?? "";
    const taken = deployment.platform.cloud.reclaim({ zone, within: 600_000 });
    expect(taken).toEqual(["finish-desk-0", "entry-1"]);
    const isKnown = (): boolean =>
      deployment.entries.every(
        ({ core }) =>
          core.workers.find("finish-desk-0")?.state === WorkerState.Leaving &&
          core.members.alive().length === 2,
      );
    // However busy the machine is, it comes before the test's own limit; the time that it takes is tested
    // on the virtual clock.
    while (!isKnown()) await sleep(systemClock, 20);
    expect(deployment.platform.cloud.notices()).toHaveLength(2);
  } finally {
    await deployment.close();
  }
});
