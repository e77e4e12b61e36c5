import { expect, test } from "vitest";
import { chooseConnection } from "./connection_choice.ts";
import type { OpenConnection } from "./connection_choice.ts";

interface Named extends OpenConnection {
  readonly name: string;
}

function connection(name: string, fields: Partial<OpenConnection> = {}): Named {
  return {
    name,
    address: "crowd",
    isReceiving: false,
    requests: 0,
    isUsed: true,
    activeAt: 0,
    ...fields,
  };
}

function chosen(...connections: Named[]): string | undefined {
  return chooseConnection(connections)?.name;
}

// Guards against sound callers that lose their connections to a crowd.
test("a connection of the address with the most goes first", () => {
  const sound = connection("sound", { address: "other", activeAt: -9 });
  expect(chosen(sound, connection("a", { requests: 1 }), connection("b", { requests: 2 }))).toBe(
    "a",
  );
});

// Guards against a sound caller's new or kept connection that goes before those of a crowd at its address.
test("within an address, the unused or the idle ones go first, whichever are more", () => {
  const kept = connection("kept", { activeAt: -9 });
  const fresh = connection("fresh", { isUsed: false, activeAt: 9 });
  const unused = ["u1", "u2"].map((name) => connection(name, { isUsed: false, activeAt: 1 }));
  const idle = ["i1", "i2"].map((name) => connection(name, { activeAt: 1 }));
  expect(chosen(kept, fresh, ...unused)).toBe("u1");
  expect(chosen(fresh, ...idle)).toBe("i1");
});

// Guards against a new connection that is closed since all others have requests that don't end.
test("a new connection stays before a crowd with requests in progress", () => {
  const fresh = connection("fresh", { isUsed: false, activeAt: 9 });
  const busy = ["b1", "b2"].map((name) => connection(name, { requests: 1 }));
  const receiving = ["r1", "r2", "r3"].map((name) =>
    connection(name, { requests: 1, isReceiving: true, activeAt: 1 }),
  );
  expect(chosen(fresh, ...busy)).toBe("b1");
  expect(chosen(fresh, ...busy, ...receiving)).toBe("r1");
  expect(chosen()).toBeUndefined();
});
