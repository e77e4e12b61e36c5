import { create } from "@bufbuild/protobuf";
import {
  AskReplySchema,
  AskRequestSchema,
  CedeReplySchema,
  CedeRequestSchema,
  MemberDeltaSchema,
  ProbeReplySchema,
  ProbeRequestSchema,
  RelayEventSchema,
  RelayRequestSchema,
  ReplicateReplySchema,
  ReplicateRequestSchema,
  RequestRecordSchema,
  VersionMarkSchema,
} from "../gen/peer_pb.ts";
import type * as wire from "../gen/peer_pb.ts";
import { MemberState, Refusal, RequestState, SlotOutcome } from "../interface/index.ts";
import type {
  AskMessage,
  AskReply,
  CedeMessage,
  MemberDelta,
  ProbeMessage,
  ProbeReply,
  RelayEvent,
  RelayMessage,
  ReplicateMessage,
  RequestRecord,
  SlotReply,
  VersionMark,
} from "../interface/index.ts";
import { enumCode, enumValue } from "./enum_code.ts";

const REQUEST_STATES = Object.values(RequestState);
const REFUSALS = Object.values(Refusal);
const MEMBER_STATES = Object.values(MemberState);
const SLOT_OUTCOMES = Object.values(SlotOutcome);
const EVENT_KINDS: readonly RelayEvent["kind"][] = ["accepted", "token", "ended", "moved"];

/** A record as it goes over the wire. */
export function encodeRecord(record: RequestRecord): wire.RequestRecord {
  return create(RequestRecordSchema, {
    ...record,
    state: enumCode(REQUEST_STATES, record.state),
    reason: enumCode(REFUSALS, record.reason),
    tokens: [...record.tokens],
    endDetail: record.detail,
  });
}

/** A record from the wire; a number that no enum has is an error. */
export function decodeRecord(message: wire.RequestRecord): RequestRecord {
  return {
    id: message.id,
    slot: message.slot,
    account: message.account,
    service: message.service,
    state: enumValue(REQUEST_STATES, message.state),
    repeatable: message.repeatable,
    detached: message.detached,
    keyed: message.keyed,
    fingerprint: message.fingerprint,
    path: message.path,
    body: message.body,
    attempt: message.attempt,
    worker: message.worker,
    tokens: message.tokens,
    tokensFrom: message.tokensFrom,
    reason: enumValue(REFUSALS, message.reason),
    detail: message.endDetail,
    acceptedAt: message.acceptedAt,
    deadlineAt: message.deadlineAt,
    sequence: message.sequence,
  };
}

/** A replication as it goes over the stream that many share; `correlation` finds its answer. */
export function encodeReplicate(
  message: ReplicateMessage,
  correlation: bigint,
): wire.ReplicateRequest {
  return create(ReplicateRequestSchema, {
    correlation,
    from: message.from,
    slot: message.slot,
    epoch: BigInt(message.epoch),
    record: encodeRecord(message.record),
  });
}

/** A replication from the wire. */
export function decodeReplicate(message: wire.ReplicateRequest): ReplicateMessage {
  return {
    from: message.from,
    slot: message.slot,
    epoch: Number(message.epoch),
    record: decodeRecord(requiredRecord(message.record)),
  };
}

/** A message that must carry a record and doesn't comes from a broken or hostile sender. */
function requiredRecord(record: wire.RequestRecord | undefined): wire.RequestRecord {
  if (record === undefined) throw new TypeError("Decoding a message of a peer: it has no record.");
  return record;
}

/** The answer to a replication. */
export function encodeReplicateReply(reply: SlotReply, correlation: bigint): wire.ReplicateReply {
  return create(ReplicateReplySchema, { correlation, ...encodedSlotReply(reply) });
}

/** The answer to a cession. */
export function encodeCedeReply(reply: SlotReply): wire.CedeReply {
  return create(CedeReplySchema, encodedSlotReply(reply));
}

function encodedSlotReply(reply: SlotReply): { outcome: number; epoch: bigint } {
  return { outcome: enumCode(SLOT_OUTCOMES, reply.outcome), epoch: BigInt(reply.epoch) };
}

/** How a slot's message was taken, from the wire. */
export function decodeSlotReply(message: wire.ReplicateReply | wire.CedeReply): SlotReply {
  return { outcome: enumValue(SLOT_OUTCOMES, message.outcome), epoch: Number(message.epoch) };
}

/** A cession as it goes over the wire. */
export function encodeCede(message: CedeMessage): wire.CedeRequest {
  return create(CedeRequestSchema, {
    ...message,
    epoch: BigInt(message.epoch),
    records: message.records.map(encodeRecord),
  });
}

/** A cession from the wire. */
export function decodeCede(message: wire.CedeRequest): CedeMessage {
  return {
    from: message.from,
    slot: message.slot,
    epoch: Number(message.epoch),
    custody: message.custody,
    ...(message.complete ? { complete: true } : {}),
    records: message.records.map(decodeRecord),
  };
}

function encodeDelta({ member, state, rise, backend }: MemberDelta): wire.MemberDelta {
  return create(MemberDeltaSchema, {
    instance: member.id,
    address: member.address,
    callerAddress: member.callerAddress,
    zone: member.zone,
    state: enumCode(MEMBER_STATES, state),
    rise: BigInt(rise),
    backend,
  });
}

function decodeDelta(message: wire.MemberDelta): MemberDelta {
  return {
    member: {
      id: message.instance,
      address: message.address,
      callerAddress: message.callerAddress,
      zone: message.zone,
    },
    state: enumValue(MEMBER_STATES, message.state),
    rise: Number(message.rise),
    backend: message.backend,
  };
}

function encodeMark({ key, version }: VersionMark): wire.VersionMark {
  return create(VersionMarkSchema, { key, version: BigInt(version) });
}

function decodeMark({ key, version }: wire.VersionMark): VersionMark {
  return { key, version: Number(version) };
}

/** A probe as it goes over the wire. */
export function encodeProbe(message: ProbeMessage): wire.ProbeRequest {
  const { from, target, deltas, versions } = message;
  return create(ProbeRequestSchema, {
    from,
    ...(target === undefined
      ? {}
      : {
          target: encodeDelta({
            member: target,
            state: MemberState.Alive,
            rise: 0,
            backend: false,
          }),
        }),
    deltas: deltas.map(encodeDelta),
    versions: versions.map(encodeMark),
  });
}

/** A probe from the wire. */
export function decodeProbe(message: wire.ProbeRequest): ProbeMessage {
  const { from, target, deltas, versions } = message;
  return {
    from,
    ...(target === undefined ? {} : { target: decodeDelta(target).member }),
    deltas: deltas.map(decodeDelta),
    versions: versions.map(decodeMark),
  };
}

/** The answer to a probe. */
export function encodeProbeReply({ from, reached, deltas, versions }: ProbeReply): wire.ProbeReply {
  return create(ProbeReplySchema, {
    from,
    reached,
    deltas: deltas.map(encodeDelta),
    versions: versions.map(encodeMark),
  });
}

/** The answer to a probe, from the wire. */
export function decodeProbeReply({ from, reached, deltas, versions }: wire.ProbeReply): ProbeReply {
  return {
    from,
    reached,
    deltas: deltas.map(decodeDelta),
    versions: versions.map(decodeMark),
  };
}

/** A relayed request as it goes over the wire. */
export function encodeRelay(message: RelayMessage): wire.RelayRequest {
  return create(RelayRequestSchema, {
    ...message,
    epoch: BigInt(message.epoch),
    record: encodeRecord(message.record),
  });
}

/** A relayed request from the wire. */
export function decodeRelay(message: wire.RelayRequest): RelayMessage {
  const { from, slot, epoch, hops, record, fromToken, follow } = message;
  return {
    from,
    slot,
    epoch: Number(epoch),
    hops,
    record: decodeRecord(requiredRecord(record)),
    fromToken,
    follow,
  };
}

/** One event of a relayed request. */
export function encodeRelayEvent(event: RelayEvent): wire.RelayEvent {
  const kind = enumCode(EVENT_KINDS, event.kind);
  switch (event.kind) {
    case "accepted":
      return create(RelayEventSchema, { kind, id: event.id });
    case "token":
      return create(RelayEventSchema, { kind, index: event.index, text: event.text });
    case "ended":
      return create(RelayEventSchema, {
        kind,
        record: encodeRecord(event.record),
        ...(event.retryAfter === undefined ? {} : { retryAfter: event.retryAfter }),
      });
    case "moved":
      return create(RelayEventSchema, { kind, epoch: BigInt(event.epoch) });
  }
}

/** One event of a relayed request, from the wire. */
export function decodeRelayEvent(message: wire.RelayEvent): RelayEvent {
  const kind = enumValue(EVENT_KINDS, message.kind);
  switch (kind) {
    case "accepted":
      return { kind, id: message.id };
    case "token":
      return { kind, index: message.index, text: message.text };
    case "ended":
      return {
        kind,
        record: decodeRecord(requiredRecord(message.record)),
        ...(message.retryAfter === 0 ? {} : { retryAfter: message.retryAfter }),
      };
    case "moved":
      return { kind, epoch: Number(message.epoch) };
  }
}

/** A question about a request. */
export function encodeAsk(message: AskMessage): wire.AskRequest {
  return create(AskRequestSchema, { ...message, epoch: BigInt(message.epoch) });
}

/** A question about a request, from the wire. */
export function decodeAsk(message: wire.AskRequest): AskMessage {
  const { from, id, account, slot, epoch, hops, cancel } = message;
  return { from, id, account, slot, epoch: Number(epoch), hops, cancel };
}

/** The answer to a question about a request. */
export function encodeAskReply({ outcome, epoch, record }: AskReply): wire.AskReply {
  return create(AskReplySchema, {
    ...encodedSlotReply({ outcome, epoch }),
    ...(record === undefined ? {} : { record: encodeRecord(record) }),
  });
}

/** The answer to a question about a request, from the wire. */
export function decodeAskReply({ outcome, epoch, record }: wire.AskReply): AskReply {
  return {
    outcome: enumValue(SLOT_OUTCOMES, outcome),
    epoch: Number(epoch),
    ...(record === undefined ? {} : { record: decodeRecord(record) }),
  };
}
