import { expect, test } from "vitest";
import { countSlots } from "./slot_counts.ts";
import { UNASSIGNED } from "./slot_map.ts";

test("slots are counted once by what they lack, and a lost history in addition", () => {
  const owned = { epoch: 1, primary: "e0#1", backup: "e1#1", historyLostAt: 0 };
  const slots = [UNASSIGNED, owned, { ...owned, backup: "" }, { ...owned, historyLostAt: 7 }];
  expect(countSlots({ version: 1, slots })).toEqual({
    unassigned: 1,
    withoutBackup: 1,
    historyLost: 1,
  });
});
