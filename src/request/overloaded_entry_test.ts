import { expect, test } from "vitest";
import { EntryMode } from "../decision/index.ts";
import { Refusal } from "../interface/index.ts";
import { expectedAnswer, createRequestFleet } from "./testing/request_fleet.ts";

test("an overloaded instance refuses new requests at once and continues accepted ones", async () => {
  // The process is overloaded. New callers must be refused at once so that they can use another
  // instance, while accepted requests continue.
  const fleet = createRequestFleet();
  fleet.assign(0, 1);
  await fleet.clock.advance(10);
  const accepted = fleet.submit(0);
  await fleet.clock.advance(30);
  fleet.node(0).requests.setEntryMode(EntryMode.ControlOnly);
  const refused = fleet.submit(0);
  const keyed = fleet.submit(0, { key: "entry" });
  await fleet.clock.advance(1_000);
  expect(accepted.text).toBe(expectedAnswer());
  expect(refused.events).toMatchObject([
    { kind: "rejected", rejection: { reason: Refusal.EntryOverloaded, notRun: true } },
  ]);
  // A request with a key may run at another instance: only its owner can report that it was not
  // run.
  expect(keyed.events).toMatchObject([{ kind: "rejected", rejection: { notRun: false } }]);
  fleet.node(0).requests.setEntryMode(EntryMode.Open);
  const later = fleet.submit(0);
  await fleet.clock.advance(1_000);
  expect(later.text).toBe(expectedAnswer());
  fleet.close();
});
