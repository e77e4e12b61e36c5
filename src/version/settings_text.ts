import { findNodeAtLocation, parseTree, printParseErrorCode } from "jsonc-parser";
import type { Node, ParseError } from "jsonc-parser";
import { getNodeValue } from "jsonc-parser";
import type { z } from "zod";

/** One fault of a settings file. */
export interface SettingsFault {
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
  /** Where in the document, such as `services.entry-model.target`. */
  readonly path: string;
  /** What was found and what is expected. */
  readonly message: string;
}

/** Settings that were read, or every fault that keeps them from being read. */
export type SettingsResult<T> =
  | { readonly kind: "valid"; readonly settings: T; readonly source: unknown }
  | { readonly kind: "invalid"; readonly faults: readonly SettingsFault[] };

/**
 * Reads settings in JSON with comments and checks them.
 *
 * @param text The file's content.
 * @param options The schema to check against, and the file's name for the faults.
 * @returns The settings, or all faults in one go.
 */
export function parseSettings<T>(
  text: string,
  options: { schema: z.ZodType<T>; file: string },
): SettingsResult<T> {
  const { schema, file } = options;
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || tree === undefined) {
    const faults = errors.map((error) => ({
      file,
      line: lineAt(text, error.offset),
      path: "",
      message: `Found what is not JSON with comments: ${printParseErrorCode(error.error)}.`,
    }));
    return { kind: "invalid", faults };
  }
  const source: unknown = getNodeValue(tree);
  const result = schema.safeParse(source);
  if (result.success) return { kind: "valid", settings: result.data, source };
  const faults = result.error.issues.flatMap((issue) => faultsOf(issue, { text, file, tree }));
  return { kind: "invalid", faults };
}

interface Place {
  readonly text: string;
  readonly file: string;
  readonly tree: Node;
}

function faultsOf(issue: z.core.$ZodIssue, place: Place): SettingsFault[] {
  const path = issue.path.map((step) => (typeof step === "symbol" ? step.toString() : step));
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      faultAt([...path, key], `Found the unknown key "${key}"; no such setting exists.`, place),
    );
  }
  return [faultAt(path, issue.message, place)];
}

function faultAt(
  path: readonly (string | number)[],
  message: string,
  { text, file, tree }: Place,
): SettingsFault {
  const node = nearestNode(tree, path);
  return { file, line: lineAt(text, node.offset), path: path.join("."), message };
}

function nearestNode(tree: Node, path: readonly (string | number)[]): Node {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node !== undefined) return node;
  }
  return tree;
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}
