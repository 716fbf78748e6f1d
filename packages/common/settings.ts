/**
 * Loads the settings of a program from a YAML file and flags that override it, and checks them
 * against a schema. A problem is reported with the path of the field and its line in the file.
 */

import { readFileSync } from "node:fs";
import { isNode, LineCounter, parseDocument } from "yaml";
import type { z } from "zod";
import {
  RosemaryrudderError,
  ValidationError,
  type ValidationProblem,
} from "./errors.ts";

export interface SettingsSource {
  /** Path of the settings file; without it, only defaults and flags apply. */
  path?: string | undefined;
  /** Top-level fields that replace those of the file; undefined values are ignored. */
  overrides?: Record<string, unknown>;
}

export function loadSettings<Schema extends z.ZodType>(
  schema: Schema,
  { path, overrides = {} }: SettingsSource,
): z.output<Schema> {
  const text = path === undefined ? "{}" : readSettingsFile(path);
  const definedOverrides = Object.fromEntries(
    Object.entries(overrides).filter(([, value]) => value !== undefined),
  );
  return parseYamlWithSchema(schema, text, {
    subject: path ?? "settings",
    transform: (value) => ({ ...(value as object ?? {}), ...definedOverrides }),
  });
}

function readSettingsFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (cause) {
    throw new RosemaryrudderError(
      "settings_unreadable",
      `cannot read ${path}`,
      { cause },
    );
  }
}

export interface YamlOptions {
  /** Name of the text in error messages, such as its path. */
  subject: string;
  /** Changes the parsed value before it is checked. */
  transform?: (value: unknown) => unknown;
}

/** Parses YAML and checks it against a schema. Throws a ValidationError with paths and lines. */
export function parseYamlWithSchema<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
  { subject, transform = (value) => value }: YamlOptions,
): z.output<Schema> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter });
  if (document.errors.length > 0) {
    throw new ValidationError(
      subject,
      document.errors.map((error) => ({
        path: "(root)",
        reason: error.message.split("\n")[0] ?? "cannot be parsed",
        line: error.linePos?.[0]?.line ?? 1,
      })),
    );
  }
  const result = schema.safeParse(transform(document.toJS()));
  if (result.success) return result.data;
  const problems = result.error.issues.map((issue): ValidationProblem => {
    const path = issue.path.map((part) =>
      typeof part === "symbol" ? String(part) : part
    );
    const line = lineOfPath(document, lineCounter, path);
    return {
      path: path.length === 0 ? "(root)" : path.join("."),
      reason: issue.message,
      ...(line === undefined ? {} : { line }),
    };
  });
  throw new ValidationError(subject, problems);
}

/** Returns the line of the deepest node on the path that is present in the document. */
function lineOfPath(
  document: ReturnType<typeof parseDocument>,
  lineCounter: LineCounter,
  path: readonly (string | number)[],
): number | undefined {
  for (let length = path.length; length >= 0; length--) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) {
      return lineCounter.linePos(node.range[0]).line;
    }
  }
  return undefined;
}
