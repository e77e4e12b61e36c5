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
  /** The stream broke off and goes on after its last whole event: the part that had come is forgotten. */
  resume(): void;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NOTHING: WholeEvents = { bytes: Buffer.alloc(0), count: 0 };

/** Makes a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  let lastId: string | undefined;
  return {
    feed: (chunk) => {
      const all = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const { end, count } = wholeEnd(all);
      if (count === 0) {
        rest = all;
        return NOTHING;
      }
      rest = all.subarray(end);
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
    resume: () => {
      rest = Buffer.alloc(0);
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
  const lines = bytes.toString("utf8").split(/\r?\n/);
  const line = lines.findLast((candidate) => candidate.startsWith("id:"));
  return line?.slice("id:".length).trim();
}
