/** Maximum length of an event in characters. A backend server that never ends an event would fill the memory. */
const MAX_EVENT_LENGTH = 4_194_304;

/**
 * Parses the data of each event of a server-sent event stream.
 *
 * The iterator is implemented by hand: a token stream has one event every few microseconds, and an
 * asynchronous generator takes longer than that per event.
 *
 * @param chunks The bytes of the stream, split at any position.
 * @param parse Converts the data of an event into a value; an exception ends the iteration, and so does an event that is too long.
 * @param options `failure` wraps an error of the stream or of `parse` into the error that is thrown.
 * @returns The values, in order.
 */
export function parseEvents<T>(
  chunks: AsyncIterable<Uint8Array>,
  parse: (data: string) => T,
  options: { failure?: (cause: unknown) => Error } = {},
): AsyncIterableIterator<T> {
  const decoder = new TextDecoder();
  const source = chunks[Symbol.asyncIterator]();
  let values: T[] = [];
  let nextIndex = 0;
  let partial = "";
  const parseChunk = (chunk: Uint8Array): void => {
    const events = (partial + decoder.decode(chunk, { stream: true })).split("\n\n");
    partial = events.pop() ?? "";
    if (partial.length > MAX_EVENT_LENGTH)
      throw new Error(`An event is longer than ${MAX_EVENT_LENGTH} characters.`);
    values = [];
    nextIndex = 0;
    for (const event of events) {
      const data = dataOfEvent(event);
      if (data !== undefined) values.push(parse(data));
    }
  };
  const readMore = async (): Promise<IteratorResult<T>> => {
    try {
      return await nextChunk();
    } catch (error) {
      // Otherwise the connection would stay open, and its bytes would be read until the caller ends.
      void source.return?.().catch(() => undefined);
      throw options.failure?.(error) ?? error;
    }
  };
  const nextChunk = async (): Promise<IteratorResult<T>> => {
    for (;;) {
      const next = await source.next();
      if (next.done === true) return { value: undefined, done: true };
      parseChunk(next.value);
      if (values.length > 0) return { value: values[nextIndex++] as T, done: false };
    }
  };
  const iterator: AsyncIterableIterator<T> = {
    next: () => {
      if (nextIndex === values.length) return readMore();
      return Promise.resolve({ value: values[nextIndex++] as T, done: false });
    },
    return: async () => {
      await source.return?.();
      return { value: undefined, done: true };
    },
    [Symbol.asyncIterator]: () => iterator,
  };
  return iterator;
}

/** Returns the data of each event of a server-sent event stream as a string. */
export function eventData(chunks: AsyncIterable<Uint8Array>): AsyncIterableIterator<string> {
  return parseEvents(chunks, (data) => data);
}

const DATA_PREFIX = "data:";

function dataOfEvent(event: string): string | undefined {
  // Fast path: nearly every event has a single line.
  if (event.startsWith(DATA_PREFIX) && !event.includes("\n"))
    return event.slice(DATA_PREFIX.length).trimStart();
  const lines = event.split("\n").filter((line) => line.startsWith(DATA_PREFIX));
  if (lines.length === 0) return undefined;
  return lines.map((line) => line.slice(DATA_PREFIX.length).trimStart()).join("\n");
}
