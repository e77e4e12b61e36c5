import { z } from "zod";

/**
 * Schema of the parts of a chat-completions body that routing needs. The engine receives the body
 * unchanged.
 */
export const chatRequestSchema = z.looseObject({
  /** `SERVICE` or `SERVICE/MODEL`. */
  model: z.string().min(1).max(256),
  messages: z
    .array(
      z.looseObject({
        role: z.string(),
        content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional(),
      }),
    )
    .min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

/** A chat-completions body, validated only as far as routing needs. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;

/**
 * Splits the `model` field of the body into service and model. The model is empty if there is no
 * slash.
 */
export function splitModel(model: string): { service: string; model: string } {
  const slash = model.indexOf("/");
  if (slash < 0) return { service: model, model: "" };
  return { service: model.slice(0, slash), model: model.slice(slash + 1) };
}
