/**
 * Converts the messages between entry instances to and from their protocol buffer types.
 *
 * Enums are encoded as the index of their value, epochs and versions as 64-bit integers.
 *
 * @module
 */
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
  HandoverMessage,
  MembershipUpdate,
  ProbeMessage,
  ProbeReply,
  RelayEvent,
  RelayMessage,
  ReplicateMessage,
  RequestRecord,
  SlotReply,
  ObjectVersion,
} from "../interface/index.ts";
import { encodeEnum, decodeEnum } from "./enum_codec.ts";

const REQUEST_STATES = Object.values(RequestState);
const REFUSALS = Object.values(Refusal);
const MEMBER_STATES = Object.values(MemberState);
const SLOT_OUTCOMES = Object.values(SlotOutcome);
/** Kinds of relay events; the index is sent, so new ones must be added at the end. */
const EVENT_KINDS: readonly RelayEvent["kind"][] = ["accepted", "token", "ended", "moved"];

/** Encodes a request record. */
export function encodeRecord(record: RequestRecord): wire.RequestRecord {
  return create(RequestRecordSchema, {
    ...record,
    state: encodeEnum(REQUEST_STATES, record.state),
    reason: encodeEnum(REFUSALS, record.reason),
    tokens: [...record.tokens],
    endDetail: record.detail,
  });
}

/**
 * Decodes a request record.
 *
 * @throws {RangeError} If an enum has an unknown value.
 */
export function decodeRecord(message: wire.RequestRecord): RequestRecord {
  return {
    id: message.id,
    slot: message.slot,
    account: message.account,
    service: message.service,
    state: decodeEnum(REQUEST_STATES, message.state),
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
    reason: decodeEnum(REFUSALS, message.reason),
    detail: message.endDetail,
    acceptedAt: message.acceptedAt,
    deadlineAt: message.deadlineAt,
    sequence: message.sequence,
  };
}

/**
 * Encodes a replication.
 *
 * @param correlation Identifies the reply on the stream that all replications to a peer share.
 */
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

/** Decodes a replication. */
export function decodeReplicate(message: wire.ReplicateRequest): ReplicateMessage {
  return {
    from: message.from,
    slot: message.slot,
    epoch: Number(message.epoch),
    record: decodeRecord(requireRecord(message.record)),
  };
}

/**
 * Returns a record that a message must have.
 *
 * @throws {TypeError} If it is missing, which happens only with a faulty or hostile sender.
 */
function requireRecord(record: wire.RequestRecord | undefined): wire.RequestRecord {
  if (record === undefined)
    throw new TypeError("Decoding a message from a peer: the record is missing.");
  return record;
}

/** Encodes the reply to a replication. */
export function encodeReplicateReply(reply: SlotReply, correlation: bigint): wire.ReplicateReply {
  return create(ReplicateReplySchema, { correlation, ...slotReplyFields(reply) });
}

/** Encodes the reply to a slot handover. */
export function encodeCedeReply(reply: SlotReply): wire.CedeReply {
  return create(CedeReplySchema, slotReplyFields(reply));
}

function slotReplyFields(reply: SlotReply): { outcome: number; epoch: bigint } {
  return { outcome: encodeEnum(SLOT_OUTCOMES, reply.outcome), epoch: BigInt(reply.epoch) };
}

/** Decodes the reply to a replication or a slot handover. */
export function decodeSlotReply(message: wire.ReplicateReply | wire.CedeReply): SlotReply {
  return { outcome: decodeEnum(SLOT_OUTCOMES, message.outcome), epoch: Number(message.epoch) };
}

/** Encodes a slot handover. */
export function encodeCede(message: HandoverMessage): wire.CedeRequest {
  return create(CedeRequestSchema, {
    ...message,
    epoch: BigInt(message.epoch),
    records: message.records.map(encodeRecord),
  });
}

/** Decodes a slot handover. */
export function decodeCede(message: wire.CedeRequest): HandoverMessage {
  return {
    from: message.from,
    slot: message.slot,
    epoch: Number(message.epoch),
    custody: message.custody,
    ...(message.complete ? { complete: true } : {}),
    records: message.records.map(decodeRecord),
  };
}

function encodeMemberDelta({ member, state, rise, backend }: MembershipUpdate): wire.MemberDelta {
  return create(MemberDeltaSchema, {
    instance: member.id,
    address: member.address,
    callerAddress: member.callerAddress,
    zone: member.zone,
    state: encodeEnum(MEMBER_STATES, state),
    rise: BigInt(rise),
    backend,
  });
}

function decodeMemberDelta(message: wire.MemberDelta): MembershipUpdate {
  return {
    member: {
      id: message.instance,
      address: message.address,
      callerAddress: message.callerAddress,
      zone: message.zone,
    },
    state: decodeEnum(MEMBER_STATES, message.state),
    rise: Number(message.rise),
    backend: message.backend,
  };
}

function encodeVersionMark({ key, version }: ObjectVersion): wire.VersionMark {
  return create(VersionMarkSchema, { key, version: BigInt(version) });
}

function decodeVersionMark({ key, version }: wire.VersionMark): ObjectVersion {
  return { key, version: Number(version) };
}

/** Encodes a membership probe. */
export function encodeProbe(message: ProbeMessage): wire.ProbeRequest {
  const { from, target, deltas, versions } = message;
  return create(ProbeRequestSchema, {
    from,
    ...(target === undefined
      ? {}
      : {
          target: encodeMemberDelta({
            member: target,
            state: MemberState.Alive,
            rise: 0,
            backend: false,
          }),
        }),
    deltas: deltas.map(encodeMemberDelta),
    versions: versions.map(encodeVersionMark),
  });
}

/** Decodes a membership probe. */
export function decodeProbe(message: wire.ProbeRequest): ProbeMessage {
  const { from, target, deltas, versions } = message;
  return {
    from,
    ...(target === undefined ? {} : { target: decodeMemberDelta(target).member }),
    deltas: deltas.map(decodeMemberDelta),
    versions: versions.map(decodeVersionMark),
  };
}

/** Encodes the reply to a membership probe. */
export function encodeProbeReply({ from, reached, deltas, versions }: ProbeReply): wire.ProbeReply {
  return create(ProbeReplySchema, {
    from,
    reached,
    deltas: deltas.map(encodeMemberDelta),
    versions: versions.map(encodeVersionMark),
  });
}

/** Decodes the reply to a membership probe. */
export function decodeProbeReply({ from, reached, deltas, versions }: wire.ProbeReply): ProbeReply {
  return {
    from,
    reached,
    deltas: deltas.map(decodeMemberDelta),
    versions: versions.map(decodeVersionMark),
  };
}

/** Encodes a relayed request. */
export function encodeRelay(message: RelayMessage): wire.RelayRequest {
  return create(RelayRequestSchema, {
    ...message,
    epoch: BigInt(message.epoch),
    record: encodeRecord(message.record),
  });
}

/** Decodes a relayed request. */
export function decodeRelay(message: wire.RelayRequest): RelayMessage {
  const { from, slot, epoch, hops, record, fromToken, follow } = message;
  return {
    from,
    slot,
    epoch: Number(epoch),
    hops,
    record: decodeRecord(requireRecord(record)),
    fromToken,
    follow,
  };
}

/** Encodes an event of a relayed request. */
export function encodeRelayEvent(event: RelayEvent): wire.RelayEvent {
  const kind = encodeEnum(EVENT_KINDS, event.kind);
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

/** Decodes an event of a relayed request. */
export function decodeRelayEvent(message: wire.RelayEvent): RelayEvent {
  const kind = decodeEnum(EVENT_KINDS, message.kind);
  switch (kind) {
    case "accepted":
      return { kind, id: message.id };
    case "token":
      return { kind, index: message.index, text: message.text };
    case "ended":
      return {
        kind,
        record: decodeRecord(requireRecord(message.record)),
        ...(message.retryAfter === 0 ? {} : { retryAfter: message.retryAfter }),
      };
    case "moved":
      return { kind, epoch: Number(message.epoch) };
  }
}

/** Encodes an inquiry about a request. */
export function encodeAsk(message: AskMessage): wire.AskRequest {
  return create(AskRequestSchema, { ...message, epoch: BigInt(message.epoch) });
}

/** Decodes an inquiry about a request. */
export function decodeAsk(message: wire.AskRequest): AskMessage {
  const { from, id, account, slot, epoch, hops, cancel } = message;
  return { from, id, account, slot, epoch: Number(epoch), hops, cancel };
}

/** Encodes the reply to an inquiry about a request. */
export function encodeAskReply({ outcome, epoch, record }: AskReply): wire.AskReply {
  return create(AskReplySchema, {
    ...slotReplyFields({ outcome, epoch }),
    ...(record === undefined ? {} : { record: encodeRecord(record) }),
  });
}

/** Decodes the reply to an inquiry about a request. */
export function decodeAskReply({ outcome, epoch, record }: wire.AskReply): AskReply {
  return {
    outcome: decodeEnum(SLOT_OUTCOMES, outcome),
    epoch: Number(epoch),
    ...(record === undefined ? {} : { record: decodeRecord(record) }),
  };
}
