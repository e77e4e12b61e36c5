/**
 * Splits a server-sent event stream into the data of its events.
 *
 * @param chunks The stream's bytes, cut anywhere.
 * @returns The data of each event, in order.
 */
export async function* eventData(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of chunks) {
    rest += decoder.decode(chunk, { stream: true });
    const events = rest.split("\n\n");
    rest = events.pop() ?? "";
    for (const event of events) {
      const data = dataOf(event);
      if (data !== undefined) yield data;
    }
  }
}

function dataOf(event: string): string | undefined {
  const lines = event.split("\n").filter((line) => line.startsWith("data:"));
  if (lines.length === 0) return undefined;
  return lines.map((line) => line.slice("data:".length).trimStart()).join("\n");
}
