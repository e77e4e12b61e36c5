/**
 * Framing of the bytes that an instance relays from a worker to another instance.
 *
 * A response without a length ends with its connection. If the relaying process ends, its operating system closes the
 * connection in an orderly way, too, and the truncated response would look complete. So the relay sends the worker's bytes
 * in frames and states with a last, empty frame that the worker itself closed its connection.
 *
 * @module
 */

/** Name of the header with which an instance asks for framing and the relay confirms it, in lower case. */
export const RELAY_FRAMING_HEADER = "relay-framing";
/** Value of the header: the version of the framing. */
export const RELAY_FRAMING_VERSION = "1";

/** The bytes that a relay sends, decoded. */
export interface RelayDecoder {
  /** Returns the worker's bytes among the next bytes of the connection, which may be split at any position. */
  decode(bytes: Buffer): Buffer;
  /** Whether the relay has stated that the worker closed its connection in an orderly way. */
  readonly hasWorkerEnd: boolean;
}

/** Bytes of the length, in network order, before the bytes of a frame. */
const LENGTH_BYTES = 4;
const NO_BYTES = Buffer.alloc(0);
/** The last frame: the worker has closed its connection in an orderly way. */
export const END_FRAME: Buffer = Buffer.alloc(LENGTH_BYTES);

/** Returns the bytes as a frame; they must not be empty. */
export function encodeFrame(bytes: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + bytes.length);
  frame.writeUInt32BE(bytes.length);
  bytes.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Creates a decoder for one connection. */
export function createRelayDecoder(): RelayDecoder {
  let length = 0;
  /** Number of bytes of the next frame's length that have arrived. */
  let lengthBytes = 0;
  /** Number of bytes of the current frame that are missing. */
  let remaining = 0;
  let hasWorkerEnd = false;

  const readLength = (bytes: Buffer, start: number): number => {
    let at = start;
    while (at < bytes.length && lengthBytes < LENGTH_BYTES) {
      length = length * 256 + (bytes[at] ?? 0);
      lengthBytes++;
      at++;
    }
    if (lengthBytes < LENGTH_BYTES) return at;
    remaining = length;
    hasWorkerEnd = length === 0;
    length = 0;
    lengthBytes = 0;
    return at;
  };
  return {
    decode: (bytes) => {
      const pieces: Buffer[] = [];
      let at = 0;
      while (at < bytes.length && !hasWorkerEnd) {
        if (remaining === 0) {
          at = readLength(bytes, at);
          continue;
        }
        const piece = bytes.subarray(at, at + remaining);
        remaining -= piece.length;
        at += piece.length;
        pieces.push(piece);
      }
      const [first = NO_BYTES, ...others] = pieces;
      return others.length === 0 ? first : Buffer.concat(pieces);
    },
    get hasWorkerEnd() {
      return hasWorkerEnd;
    },
  };
}

/** Creates a decoder for a relay of an earlier version, which sends no frames and so can't state the worker's end. */
export function createUnframedDecoder(): RelayDecoder {
  return { decode: (bytes) => bytes, hasWorkerEnd: false };
}
