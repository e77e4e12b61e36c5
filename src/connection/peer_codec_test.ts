import { fromBinary, toBinary } from "@bufbuild/protobuf";
import fc from "fast-check";
import { expect, test } from "vitest";
import { RelayEventSchema, RequestRecordSchema } from "../gen/peer_pb.ts";
import { Refusal, RequestState } from "../interface/index.ts";
import type { RelayEvent, RequestRecord } from "../interface/index.ts";
import { decodeRecord, decodeRelayEvent, encodeRecord, encodeRelayEvent } from "./peer_codec.ts";

const SEED = 20_261_202;

const record: fc.Arbitrary<RequestRecord> = fc.record({
  id: fc.string(),
  slot: fc.integer({ min: 0, max: 1_023 }),
  account: fc.string(),
  service: fc.string(),
  state: fc.constantFrom(...Object.values(RequestState)),
  repeatable: fc.boolean(),
  detached: fc.boolean(),
  keyed: fc.boolean(),
  fingerprint: fc.string(),
  path: fc.string(),
  body: fc.string({ unit: "grapheme" }),
  attempt: fc.nat(),
  worker: fc.string(),
  tokens: fc.array(fc.string({ unit: "grapheme" })),
  tokensFrom: fc.nat(),
  reason: fc.constantFrom(...Object.values(Refusal)),
  detail: fc.string(),
  acceptedAt: fc.nat(),
  deadlineAt: fc.nat(),
  sequence: fc.nat(),
});

const event: fc.Arbitrary<RelayEvent> = fc.oneof(
  fc.record({ kind: fc.constant("accepted" as const), id: fc.string() }),
  fc.record({ kind: fc.constant("token" as const), index: fc.nat(), text: fc.string() }),
  fc.record({ kind: fc.constant("ended" as const), record }),
  fc.record({ kind: fc.constant("moved" as const), epoch: fc.nat() }),
);

// Guards against a record field that is lost or changed when a request is copied to another instance.
test("every record is equal after encoding and decoding", () => {
  fc.assert(
    fc.property(record, (sent) => {
      const bytes = toBinary(RequestRecordSchema, encodeRecord(sent));
      expect(decodeRecord(fromBinary(RequestRecordSchema, bytes))).toEqual(sent);
    }),
    { seed: SEED },
  );
});

// Guards against a caller that gets a different event than the owner of its request sent.
test("every event of a relayed request is equal after encoding and decoding", () => {
  fc.assert(
    fc.property(event, (sent) => {
      const bytes = toBinary(RelayEventSchema, encodeRelayEvent(sent));
      expect(decodeRelayEvent(fromBinary(RelayEventSchema, bytes))).toEqual(sent);
    }),
    { seed: SEED },
  );
});

test("arbitrary bytes are either decoded as a record or rejected with an error", () => {
  // An instance of another release, or an attacker who has the peer key, may send an unknown message. It must
  // fail only its own call and not end the process.
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      try {
        expect(decodeRecord(fromBinary(RequestRecordSchema, bytes)).sequence).toBeTypeOf("number");
      } catch (error) {
        expect(error).toBeInstanceOf(Error);
      }
    }),
    { seed: SEED },
  );
});
