import { expect, test } from "vitest";
import { printNamed, fingerprintRequest } from "./request_print.ts";

const REQUEST = { method: "POST", url: "/desk/7?a=b", headers: { host: "desk.example" } };
const BODY = Buffer.from("draft the list");

test("a repeated request has the same fingerprint, whatever its id", () => {
  const first = { ...REQUEST, headers: { host: "desk.example", "x-request-id": "a" } };
  const again = { ...REQUEST, headers: { host: "desk.example", "x-request-id": "b" } };
  const identity = { account: "club", body: BODY };
  expect(fingerprintRequest(first, identity)).toEqual(fingerprintRequest(again, identity));
});

test("a different caller, path, host, method or body changes the fingerprint", () => {
  const fingerprints = [
    fingerprintRequest(REQUEST, { account: "club", body: BODY }),
    fingerprintRequest(REQUEST, { account: undefined, body: BODY }),
    fingerprintRequest(REQUEST, { account: "another", body: BODY }),
    fingerprintRequest(REQUEST, { account: "club", body: Buffer.from("draft the lis") }),
    fingerprintRequest({ ...REQUEST, url: "/desk/8" }, { account: "club", body: BODY }),
    fingerprintRequest({ ...REQUEST, method: "PUT" }, { account: "club", body: BODY }),
    fingerprintRequest({ ...REQUEST, headers: { host: "b" } }, { account: "club", body: BODY }),
  ];
  expect(new Set(fingerprints.map(({ name }) => name)).size).toBe(fingerprints.length);
});

test("a fingerprint can be restored from its name", () => {
  const fingerprint = fingerprintRequest(REQUEST, { account: "club", body: BODY });
  expect(printNamed(fingerprint.name)).toEqual(fingerprint);
  expect(fingerprint.key).toBeLessThan(2 ** 32);
});
