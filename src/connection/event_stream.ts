/**
 * Parses the data of each event of a server-sent event stream.
 *
 * The iterator is implemented by hand: a token stream has one event every few microseconds, and an
 * asynchronous generator takes longer than that per event.
 *
 * @param chunks The bytes of the stream, split at any position.
 * @param parse Converts the data of an event into a value; an exception ends the iteration.
 * @param options `failure` wraps an error of the stream or of `parse` into the error that is thrown.
 * @returns The values, in order.
 */
export function eventValues<T>(
  chunks: AsyncIterable<Uint8Array>,
  parse: (data: string) => T,
  options: { failure?: (cause: unknown) => Error } = {},
): AsyncIterableIterator<T> {
  const decoder = new TextDecoder();
  const source = chunks[Symbol.asyncIterator]();
  let ready: T[] = [];
  let taken = 0;
  let rest = "";
  const take = (chunk: Uint8Array): void => {
    const events = (rest + decoder.decode(chunk, { stream: true })).split("\n\n");
    rest = events.pop() ?? "";
    ready = [];
    taken = 0;
    for (const event of events) {
      const data = dataOf(event);
      if (data !== undefined) ready.push(parse(data));
    }
  };
  const more = async (): Promise<IteratorResult<T>> => {
    try {
      return await nextChunk();
    } catch (error) {
      throw options.failure?.(error) ?? error;
    }
  };
  const nextChunk = async (): Promise<IteratorResult<T>> => {
    for (;;) {
      const next = await source.next();
      if (next.done === true) return { value: undefined, done: true };
      take(next.value);
      if (ready.length > 0) return { value: ready[taken++] as T, done: false };
    }
  };
  const iterator: AsyncIterableIterator<T> = {
    next: () => {
      if (taken === ready.length) return more();
      return Promise.resolve({ value: ready[taken++] as T, done: false });
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
  return eventValues(chunks, (data) => data);
}

const FIELD = "data:";

function dataOf(event: string): string | undefined {
  // Fast path: nearly every event has a single line.
  if (event.startsWith(FIELD) && !event.includes("\n"))
    return event.slice(FIELD.length).trimStart();
  const lines = event.split("\n").filter((line) => line.startsWith(FIELD));
  if (lines.length === 0) return undefined;
  return lines.map((line) => line.slice(FIELD.length).trimStart()).join("\n");
}
