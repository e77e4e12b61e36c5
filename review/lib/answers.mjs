/** The bodies that the stand-in workers answer with. They depend on the request's path only. */

const ANSWER_BYTES = 800;

/** Returns the text of one event of a stream. */
export function eventText(path, number) {
  return `id: ${number}\ndata: part ${number} of ${path}\n\n`;
}

/** Returns the whole body of a stream, or its part after an event. */
export function wholeStream(path, from = 0) {
  const count = Number(path.split("/")[2]);
  let text = "";
  for (let number = from + 1; number <= count; number++) text += eventText(path, number);
  return text;
}

/** Returns the whole body of an answer that is no stream. */
export function wholeAnswer(path) {
  return Buffer.alloc(ANSWER_BYTES, `the answer to ${path}; `);
}
