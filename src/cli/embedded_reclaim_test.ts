import { expect, test } from "vitest";
import { sleep, WorkerState } from "../interface/index.ts";
import { systemClock } from "../process/index.ts";
import { startEmbeddedDeployment } from "./embedded_deployment.ts";
import { createAccountKeys, ASSOCIATION_TEMPLATE, createDocumentValue } from "./template/index.ts";

const CLIENT_KEY = "client-key-of-tests";

test("after a reclaim notice for a zone, every instance marks its workers and its entry instance as leaving", async () => {
  // The cloud reclaims a zone. The other instances must send requests to workers of other zones, and must no longer
  // return the address of the leaving entry instance to callers.
  const deployment = await startEmbeddedDeployment({
    port: 0,
    entryInstanceCount: 3,
    workerCounts: { "finish-desk": 3 },
    zones: ASSOCIATION_TEMPLATE.zones,
    document: createDocumentValue(
      ASSOCIATION_TEMPLATE,
      createAccountKeys(ASSOCIATION_TEMPLATE, { "club-sofia": CLIENT_KEY }),
    ),
    preset: "day",
    operatorKey: "operator-key-of-tests",
  });
  try {
    const zone = ASSOCIATION_TEMPLATE.zones[0] ?? "";
    const reclaimed = deployment.platform.cloud.reclaim({ zone, within: 600_000 });
    expect(reclaimed).toEqual(["finish-desk-0", "entry-1"]);
    const isLeavingEverywhere = (): boolean =>
      deployment.entries.every(
        ({ core }) =>
          core.workers.find("finish-desk-0")?.state === WorkerState.Leaving &&
          core.members.alive().length === 2,
      );
    // There is no time limit here but the test's own, because the machine may be busy. Tests on the virtual clock
    // check how long it takes.
    while (!isLeavingEverywhere()) await sleep(systemClock, 20);
    expect(deployment.platform.cloud.notices()).toHaveLength(2);
  } finally {
    await deployment.close();
  }
});
