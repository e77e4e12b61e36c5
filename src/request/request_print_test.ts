import { expect, test } from "vitest";
import { printNamed, requestPrint } from "./request_print.ts";

const REQUEST = { method: "POST", url: "/desk/7?a=b", headers: { host: "desk.example" } };
const BODY = Buffer.from("draft the list");

test("a repeated request has the same fingerprint, whatever its id", () => {
  const first = { ...REQUEST, headers: { host: "desk.example", "x-request-id": "a" } };
  const again = { ...REQUEST, headers: { host: "desk.example", "x-request-id": "b" } };
  const of = { account: "club", body: BODY };
  expect(requestPrint(first, of)).toEqual(requestPrint(again, of));
});

test("a different caller, path, host, method or body changes the fingerprint", () => {
  const prints = [
    requestPrint(REQUEST, { account: "club", body: BODY }),
    requestPrint(REQUEST, { account: undefined, body: BODY }),
    requestPrint(REQUEST, { account: "another", body: BODY }),
    requestPrint(REQUEST, { account: "club", body: Buffer.from("draft the lis") }),
    requestPrint({ ...REQUEST, url: "/desk/8" }, { account: "club", body: BODY }),
    requestPrint({ ...REQUEST, method: "PUT" }, { account: "club", body: BODY }),
    requestPrint({ ...REQUEST, headers: { host: "b" } }, { account: "club", body: BODY }),
  ];
  expect(new Set(prints.map(({ name }) => name)).size).toBe(prints.length);
});

test("a fingerprint can be restored from its name", () => {
  const print = requestPrint(REQUEST, { account: "club", body: BODY });
  expect(printNamed(print.name)).toEqual(print);
  expect(print.key).toBeLessThan(2 ** 32);
});
