/** Whole events of a stream, as far as they have come. */
export interface WholeEvents {
  /** The bytes of the whole events; empty where none was completed. */
  readonly bytes: Buffer;
  /** How many events they hold. */
  readonly count: number;
}

/**
 * Cuts an event stream at the ends of its events, so that a stream that breaks off can be continued after
 * its last whole event: part of an event passed on would stand in front of the same event when it comes again.
 */
export interface EventSplitter {
  /** Takes bytes of the stream. */
  feed(chunk: Buffer): WholeEvents;
  /** The id of the last whole event. */
  readonly lastId: string | undefined;
  /** Bytes of an event that isn't whole yet. */
  readonly rest: Buffer;
  /** Whether an event has grown beyond what any has: the stream is no event stream, and isn't kept on. */
  readonly isOverlong: boolean;
  /** The stream broke off and goes on after its last whole event: the part that had come is forgotten. */
  resume(): void;
}

/**
 * Bytes of one event; those of engines have some hundred, and a caller's limit on bodies is of this size. A worker that
 * ends none would fill the memory.
 */
const GREATEST_EVENT = 4_194_304;
/** An id goes into a header of the request that continues the stream: visible characters, and a few of them. */
const ID_LINE = /^id:\s*([\x21-\x7e]{1,128})\s*$/;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NOTHING: WholeEvents = { bytes: Buffer.alloc(0), count: 0 };

/** Makes a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  let lastId: string | undefined;
  let isOverlong = false;
  const keep = (bytes: Buffer): void => {
    isOverlong ||= bytes.length > GREATEST_EVENT;
    rest = isOverlong ? Buffer.alloc(0) : bytes;
  };
  return {
    feed: (chunk) => {
      if (isOverlong) return NOTHING;
      const all = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const { end, count } = wholeEnd(all);
      if (count === 0) {
        keep(all);
        return NOTHING;
      }
      keep(all.subarray(end));
      const bytes = all.subarray(0, end);
      lastId = lastIdIn(bytes) ?? lastId;
      return { bytes, count };
    },
    get lastId() {
      return lastId;
    },
    get rest() {
      return rest;
    },
    get isOverlong() {
      return isOverlong;
    },
    resume: () => {
      rest = Buffer.alloc(0);
      isOverlong = false;
    },
  };
}

/** Where the last whole event ends: after an empty line. Lines end with LF or with CR LF. */
function wholeEnd(bytes: Buffer): { end: number; count: number } {
  let end = 0;
  let count = 0;
  let lineStart = 0;
  for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const length = at - lineStart;
    const isEmpty = length === 0 || (length === 1 && bytes[lineStart] === CARRIAGE_RETURN);
    lineStart = at + 1;
    if (!isEmpty) continue;
    end = lineStart;
    count++;
  }
  return { end, count };
}

function lastIdIn(bytes: Buffer): string | undefined {
  const lines = bytes.toString("latin1").split(/\r?\n/);
  const line = lines.findLast((candidate) => ID_LINE.test(candidate)) ?? "";
  return ID_LINE.exec(line)?.[1];
}
