import { expect, test } from "vitest";
import { MemberState } from "../interface/index.ts";
import type { Member } from "../interface/index.ts";
import { EMPTY_SLOT_MAP } from "../version/index.ts";
import { startStateLog } from "./state_log.ts";
import type { StateLogParts } from "./state_log.ts";

const SELF: Member = { id: "e1#1", address: "", callerAddress: "", zone: "a" };
const PEER: Member = { id: "e2#1", address: "", callerAddress: "", zone: "b" };

interface Logged {
  readonly message: string;
  readonly context: Readonly<Record<string, unknown>>;
}

test("each change of state is one line with its step and peer, and a repeated state is not logged", () => {
  const listeners = new Set<() => void>();
  const onChange: StateLogParts["members"]["onChange"] = (listener) => {
    listeners.add(listener);
    return { close: () => listeners.delete(listener) };
  };
  const states = new Map([[PEER.id, MemberState.Alive]]);
  let slotMap = EMPTY_SLOT_MAP;
  const members = {
    self: SELF,
    find: () => PEER,
    stateOf: (id: string) => states.get(id) ?? MemberState.Dead,
    alive: () => [SELF, PEER],
    present: () => [PEER],
    onChange,
  };
  const configuration = {
    revision: () => undefined,
    slotMap: () => slotMap,
    onChange,
    isCutOff: () => false,
    refresh: () => Promise.resolve(),
  };
  const workers = { list: () => [], find: () => undefined, onChange };
  const lines: Logged[] = [];
  const log = startStateLog({ self: SELF, configuration, members, workers }, (line) => {
    lines.push(JSON.parse(line) as Logged);
  });
  const notify = (): void => {
    for (const listener of listeners) listener();
  };
  notify();
  notify();
  states.set(PEER.id, MemberState.Leaving);
  slotMap = { ...EMPTY_SLOT_MAP, version: 1 };
  notify();
  log.close();
  states.set(PEER.id, MemberState.Dead);
  notify();
  expect(lines.map(({ context }) => [context["step"], context["peer"], context["state"]])).toEqual([
    ["membership", PEER.id, MemberState.Alive],
    ["membership", PEER.id, MemberState.Leaving],
    ["slot map", "store", undefined],
  ]);
  expect(lines.every(({ context }) => context["instance"] === SELF.id)).toBe(true);
});
