/** A limit on what a caller sends beside its requests and their bodies, or on what the process can do for it. */
export enum ReadingLimit {
  /** Chunk sizes and extensions, or trailers, that are out of proportion to their body. */
  Framing = "framing",
  /** Bytes between two requests. */
  Gap = "gap",
  /** Bytes of a body whose request was refused, or behind the end of a connection. */
  Refused = "refused",
  /** The time that a request waits until the process begins it. */
  Wait = "wait",
}

/** A limit on bytes. */
export type ByteLimit = Exclude<ReadingLimit, ReadingLimit.Wait>;

/** What a connection is within. */
export enum ReadingState {
  /** Before the first request, or behind a complete one. */
  BetweenRequests = "between-requests",
  /** The body of a request that may be answered. */
  WithinBody = "within-body",
  /** The body of a request that has its response, or behind the end of the connection. */
  Refused = "refused",
}

/** The bytes of a connection since the request or the end of a request that its state began with. */
export interface PassedBytes {
  readonly state: ReadingState;
  /** All bytes. */
  readonly passed: number;
  /** Those of the body among them. */
  readonly body: number;
}

/**
 * Bytes of framing that every body may have, and those for each of its bytes. A chunk of one byte has five, or more if its
 * size is padded.
 */
const FRAMING_BYTES = 65_536;
const FRAMING_PER_BYTE = 16;
/** Bytes between two requests: empty lines, or a head that the parser would refuse before. */
const GAP_BYTES = 262_144;
/** Bytes of a body beyond its limit that are read after its request was refused. */
const REFUSED_MARGIN = 65_536;

/**
 * Returns the limit that a caller exceeds; undefined if none.
 *
 * Load: bytes without end of which nothing comes. Symptom: they take the processor from other callers.
 */
export function exceededLimit(
  { state, passed, body }: PassedBytes,
  maxBodyBytes: number,
): ByteLimit | undefined {
  switch (state) {
    case ReadingState.BetweenRequests:
      return passed > GAP_BYTES ? ReadingLimit.Gap : undefined;
    case ReadingState.Refused:
      return passed > maxBodyBytes + REFUSED_MARGIN ? ReadingLimit.Refused : undefined;
    case ReadingState.WithinBody:
      return passed - body > FRAMING_BYTES + FRAMING_PER_BYTE * body
        ? ReadingLimit.Framing
        : undefined;
  }
}
