import { findNodeAtLocation, parseTree, printParseErrorCode } from "jsonc-parser";
import type { Node, ParseError } from "jsonc-parser";
import { getNodeValue } from "jsonc-parser";
import type { z } from "zod";

/** An error in a settings file. */
export interface SettingsFault {
  readonly file: string;
  /** Line number, starting at 1. */
  readonly line: number;
  /** Path of the value in the document, such as `services.entry-model.target`. */
  readonly path: string;
  /** The found value and the expected one. */
  readonly message: string;
}

/** Valid settings together with the document they were parsed from, or all errors found. */
export type SettingsResult<T> =
  | { readonly kind: "valid"; readonly settings: T; readonly source: unknown }
  | { readonly kind: "invalid"; readonly faults: readonly SettingsFault[] };

/**
 * Parses and validates settings in JSON with comments (JSONC).
 *
 * @param text The content of the file.
 * @param options The schema, and the file name to report in errors.
 * @returns The settings, or all errors found.
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
      message: `Not valid JSON with comments: ${printParseErrorCode(error.error)}.`,
    }));
    return { kind: "invalid", faults };
  }
  const source: unknown = getNodeValue(tree);
  const result = schema.safeParse(source);
  if (result.success) return { kind: "valid", settings: result.data, source };
  const faults = result.error.issues.flatMap((issue) => faultsOf(issue, { text, file, tree }));
  return { kind: "invalid", faults };
}

/** The text of a settings file with its syntax tree, to find the line of an error. */
interface SettingsText {
  readonly text: string;
  readonly file: string;
  readonly tree: Node;
}

function faultsOf(issue: z.core.$ZodIssue, settingsText: SettingsText): SettingsFault[] {
  const path = issue.path.map((step) => (typeof step === "symbol" ? step.toString() : step));
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      faultAt(
        [...path, key],
        `Found the unknown key "${key}"; no such setting exists.`,
        settingsText,
      ),
    );
  }
  return [faultAt(path, issue.message, settingsText)];
}

function faultAt(
  path: readonly (string | number)[],
  message: string,
  { text, file, tree }: SettingsText,
): SettingsFault {
  const node = nearestNode(tree, path);
  return { file, line: lineAt(text, node.offset), path: path.join("."), message };
}

/** Returns the node at the path, or its nearest ancestor that exists. */
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
