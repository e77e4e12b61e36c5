import fc from "fast-check";
import { expect, test } from "vitest";
import { createRelayDecoder, encodeFrame, END_FRAME } from "./relay_framing.ts";

/** Decodes bytes that arrive in pieces of the given sizes, used in turn. */
function decode(bytes: Buffer, sizes: readonly number[]): { text: string; hasWorkerEnd: boolean } {
  const decoder = createRelayDecoder();
  let text = "";
  let at = 0;
  for (let index = 0; at < bytes.length; index++) {
    const end = at + (sizes[index % sizes.length] ?? 1);
    text += decoder.decode(bytes.subarray(at, end)).toString();
    at = end;
  }
  return { text, hasWorkerEnd: decoder.hasWorkerEnd };
}

const pieceSizes = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 5 });
const frames = fc.array(fc.string({ minLength: 1, maxLength: 12, unit: "binary-ascii" }));

// Guards against a truncated response that looks complete: only the last frame states the worker's end.
test("the worker's bytes and its end are decoded however they arrive, and no part of them states an end", () => {
  fc.assert(
    fc.property(frames, pieceSizes, (texts, sizes) => {
      const sent = texts.map((text) => encodeFrame(Buffer.from(text)));
      const whole = Buffer.concat([...sent, END_FRAME]);
      expect(decode(whole, sizes)).toEqual({ text: texts.join(""), hasWorkerEnd: true });
      for (let end = 0; end < whole.length; end++)
        expect(decode(whole.subarray(0, end), sizes).hasWorkerEnd).toBe(false);
    }),
  );
});
