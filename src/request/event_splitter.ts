/** The complete events among the bytes received. */
export interface CompleteEvents {
  /** The bytes of the complete events; empty if there are none. */
  readonly bytes: Buffer;
  /** Number of complete events. */
  readonly count: number;
}

/**
 * Splits an event stream at event boundaries, so that a broken stream can be continued after its
 * last complete event. If part of an event were forwarded, it would precede the same event when the
 * worker sends it again.
 */
export interface EventSplitter {
  /** Adds bytes of the stream and returns the events that they complete. */
  push(chunk: Buffer): CompleteEvents;
  /** Id of the first complete event. */
  readonly firstId: string | undefined;
  /** Id of the last complete event. */
  readonly lastId: string | undefined;
  /**
   * Whether the stream was continued with an event whose id isn't above the last one before it. The events belong to another
   * stream or were sent before, and are not returned. Ids that aren't numbers are not compared.
   */
  readonly isRepeated: boolean;
  /** Bytes of an incomplete event. */
  readonly partialEvent: Buffer;
  /**
   * Whether an event exceeded the maximum size. The stream is then not an event stream, and its
   * bytes are no longer stored.
   */
  readonly isTooLong: boolean;
  /**
   * Discards the incomplete event, because the stream broke and continues after its last complete
   * event.
   */
  discardPartial(): void;
  /** Replaces the incomplete event, because the stream continues where these bytes had arrived. */
  replacePartial(bytes: Buffer): void;
}

/**
 * Maximum size of an event in bytes. Events from engines have some hundred bytes, and the default
 * limit on callers' bodies has this size. Without a limit, a worker that never ends an event would
 * exhaust the memory.
 */
const MAX_EVENT_BYTES = 4_194_304;
/**
 * Restricts an id to a short string of visible characters, because it is sent as a header in the
 * request that continues the stream.
 */
const ID_LINE = /^id:\s*([\x21-\x7e]{1,128})\s*$/;
const NUMBER = /^\d{1,15}$/;
/** Factor by which the storage of an incomplete event grows, so that each byte is copied a bounded number of times. */
const GROWTH_FACTOR = 2;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NO_EVENTS: CompleteEvents = { bytes: Buffer.alloc(0), count: 0 };

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let partial: Buffer = Buffer.alloc(0);
  /** Free bytes directly behind the incomplete event. */
  let spare: Buffer = Buffer.alloc(0);
  /** Start of the last, incomplete line in it. */
  let lineStart = 0;
  let firstId: string | undefined;
  let lastId: string | undefined;
  let isTooLong = false;
  let isRepeated = false;
  /** Whether the next events continue a stream that broke. */
  let isContinuing = false;
  /**
   * Returns the incomplete event with the bytes behind it. Copying and searching all of it for each piece would cost
   * time that grows with the square of its length: seconds for a stream without events.
   */
  const join = (chunk: Buffer): Buffer => {
    if (partial.length === 0) {
      spare = Buffer.alloc(0);
      return chunk;
    }
    if (spare.length < chunk.length) {
      const storage = Buffer.allocUnsafe(GROWTH_FACTOR * (partial.length + chunk.length));
      partial.copy(storage);
      spare = storage.subarray(partial.length);
      partial = storage.subarray(0, partial.length);
    }
    chunk.copy(spare);
    spare = spare.subarray(chunk.length);
    return Buffer.from(partial.buffer, partial.byteOffset, partial.length + chunk.length);
  };
  const setPartial = (bytes: Buffer): void => {
    isTooLong ||= bytes.length > MAX_EVENT_BYTES;
    partial = isTooLong ? Buffer.alloc(0) : bytes;
  };
  const replacePartial = (bytes: Buffer): void => {
    partial = bytes;
    spare = Buffer.alloc(0);
    lineStart = bytes.lastIndexOf(LINE_FEED) + 1;
    isTooLong = false;
    isRepeated = false;
    isContinuing = false;
  };
  return {
    push: (chunk) => {
      if (isTooLong || isRepeated) return NO_EVENTS;
      const searchFrom = partial.length;
      const all = join(chunk);
      const { end, count, lastLine } = findCompleteEnd(all, { lineStart, searchFrom });
      lineStart = lastLine - end;
      if (count === 0) {
        setPartial(all);
        return NO_EVENTS;
      }
      const bytes = all.subarray(0, end);
      const ids = findIds(bytes);
      isRepeated = isContinuing && isNotAbove(ids[0], lastId);
      if (isRepeated) return NO_EVENTS;
      isContinuing = false;
      setPartial(all.subarray(end));
      firstId ??= ids[0];
      lastId = ids.at(-1) ?? lastId;
      return { bytes, count };
    },
    get firstId() {
      return firstId;
    },
    get lastId() {
      return lastId;
    },
    get partialEvent() {
      return partial;
    },
    get isTooLong() {
      return isTooLong;
    },
    get isRepeated() {
      return isRepeated;
    },
    discardPartial: () => {
      replacePartial(Buffer.alloc(0));
      isContinuing = true;
    },
    replacePartial,
  };
}

/** The part of an event in which its end wasn't found. */
interface SearchedPart {
  /** Start of its last line, which is incomplete. */
  readonly lineStart: number;
  /** Its length. */
  readonly searchFrom: number;
}

/**
 * Finds the end of the last complete event, which is an empty line, and the start of the line after all complete ones.
 * Lines end with LF or CR LF.
 */
function findCompleteEnd(
  bytes: Buffer,
  { lineStart: firstLine, searchFrom }: SearchedPart,
): { end: number; count: number; lastLine: number } {
  let end = 0;
  let count = 0;
  let lineStart = firstLine;
  for (
    let at = bytes.indexOf(LINE_FEED, searchFrom);
    at >= 0;
    at = bytes.indexOf(LINE_FEED, at + 1)
  ) {
    const length = at - lineStart;
    const isEmpty = length === 0 || (length === 1 && bytes[lineStart] === CARRIAGE_RETURN);
    lineStart = at + 1;
    if (!isEmpty) continue;
    end = lineStart;
    count++;
  }
  return { end, count, lastLine: lineStart };
}

/** Returns the ids of the first and of the last event that have one. */
function findIds(bytes: Buffer): string[] {
  const lines = bytes.toString("latin1").split(/\r?\n/);
  const ends = [lines.find(isIdLine), lines.findLast(isIdLine)];
  return ends.flatMap((line = "") => ID_LINE.exec(line)?.[1] ?? []);
}

function isIdLine(line: string): boolean {
  return ID_LINE.test(line);
}

function isNotAbove(id: string | undefined, last: string | undefined): boolean {
  if (id === undefined || last === undefined) return false;
  return NUMBER.test(id) && NUMBER.test(last) && Number(id) <= Number(last);
}
