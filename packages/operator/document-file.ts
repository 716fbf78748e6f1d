/**
 * Reads and edits a document in a YAML file. Its mapping `sections` has one entry for each
 * section, whose `version` is the published version that the edit is based on. Edits by this
 * module keep comments, and problems are reported with their line.
 */

import { readFileSync, renameSync, statSync, writeFileSync } from "node:fs";
import { isMap, isNode, isScalar, LineCounter, parseDocument } from "yaml";
import { z } from "zod";
import {
  RosemaryrudderError,
  ValidationError,
  type ValidationProblem,
} from "../common/errors.ts";
import type { SectionName } from "../common/ids.ts";
import { parseYamlWithSchema } from "../common/settings.ts";
import { sectionNameSchema } from "../control/document.ts";
import { canonicalJson } from "./canonical.ts";

const fileSchema = z.strictObject({
  sections: z.record(
    sectionNameSchema,
    z.looseObject({
      version: z.number({
        error: "must be the version that was edited, 0 for a new section",
      }).int().nonnegative(),
    }),
  ),
});

export interface FileSection {
  readonly name: SectionName;
  /** Published version that the edit is based on; 0 for a new section. */
  readonly baseVersion: number;
  /** The section without its version, as JSON text with sorted keys. */
  readonly body: string;
}

type YamlPath = readonly (string | number)[];

export class DocumentFile {
  readonly path: string;
  readonly sections: ReadonlyMap<SectionName, FileSection>;
  #text: string;

  private constructor(path: string, text: string) {
    this.path = path;
    this.#text = text;
    const { sections } = parseYamlWithSchema(fileSchema, text, {
      subject: path,
    });
    this.sections = new Map(
      Object.entries(sections).map(([name, { version, ...body }]) => [
        name as SectionName,
        {
          name: name as SectionName,
          baseVersion: version,
          body: canonicalJson(body),
        },
      ]),
    );
  }

  static read(path: string): DocumentFile {
    let text: string;
    try {
      text = readFileSync(path, "utf8");
    } catch (cause) {
      throw new RosemaryrudderError(
        "document_unreadable",
        `cannot read ${path}`,
        { cause },
      );
    }
    return new DocumentFile(path, text);
  }

  /** Returns the named section, or all sections if no name is given. */
  selectSections(name: SectionName | undefined): FileSection[] {
    if (name === undefined) return [...this.sections.values()];
    const section = this.sections.get(name);
    if (!section) {
      throw new RosemaryrudderError(
        "unknown_section",
        `${this.path} has no section '${name}'`,
      );
    }
    return [section];
  }

  /**
   * Formats a problem as `file:line: path: reason`. Its path must begin with the name of the
   * section.
   */
  describeProblem({ path, reason }: ValidationProblem): string {
    const line = this.#lineOf(path);
    const location = line === undefined ? this.path : `${this.path}:${line}`;
    return `${location}: ${path}: ${reason}`;
  }

  /** Replaces the version of a section and nothing else in the file. */
  writeVersion(section: SectionName, version: number): void {
    const document = parseDocument(this.#text);
    const node = document.getIn(["sections", section, "version"], true);
    if (!isScalar(node) || !node.range) {
      throw new RosemaryrudderError(
        "document_changed",
        `${this.path} has no version of section '${section}'`,
      );
    }
    const [start, end] = node.range;
    this.#write(this.#text.slice(0, start) + version + this.#text.slice(end));
  }

  /** Appends an item to the list at the path, which is created if it is absent. */
  addToList(path: YamlPath, item: unknown): void {
    const document = parseDocument(this.#text);
    const list = document.getIn(path);
    if (list === undefined || list === null) {
      document.setIn(path, document.createNode([item]));
    } else document.addIn(path, document.createNode(item));
    this.#write(document.toString({ lineWidth: 0 }));
  }

  /** Removes the node at the path. */
  remove(path: YamlPath): void {
    const document = parseDocument(this.#text);
    document.deleteIn(path);
    this.#write(document.toString({ lineWidth: 0 }));
  }

  /** Returns the fields of a section without its version; empty if the section is absent. */
  sectionFields(section: SectionName): Record<string, unknown> {
    return JSON.parse(this.sections.get(section)?.body ?? "{}");
  }

  /** Replaces the file atomically; throws if another program has changed it since it was read. */
  #write(text: string): void {
    if (readFileSync(this.path, "utf8") !== this.#text) {
      throw new RosemaryrudderError(
        "document_changed",
        `${this.path} was changed by another program and was not updated`,
      );
    }
    const temporary = `${this.path}.new`;
    writeFileSync(temporary, text, { mode: statSync(this.path).mode });
    renameSync(temporary, this.path);
    this.#text = text;
  }

  /** Returns the line of the deepest node on the path that is present in the file. */
  #lineOf(path: string): number | undefined {
    const lineCounter = new LineCounter();
    const document = parseDocument(this.#text, { lineCounter });
    // Names of sections may contain dots, so the longest matching name is taken.
    const section = [...this.sections.keys()]
      .filter((name) => path === name || path.startsWith(`${name}.`))
      .sort((left, right) => right.length - left.length)[0];
    if (section === undefined) return undefined;
    const fieldPath = path.slice(section.length + 1).split(".").filter(Boolean)
      .map((part) => /^\d+$/.test(part) ? Number(part) : part);
    const fullPath: YamlPath = ["sections", section, ...fieldPath];
    for (let length = fullPath.length; length > 0; length--) {
      const parent = document.getIn(fullPath.slice(0, length - 1), true);
      const key = fullPath[length - 1];
      const pair = isMap(parent)
        ? parent.items.find(({ key: candidate }) =>
          isScalar(candidate) && candidate.value === key
        )
        : undefined;
      const node = pair
        ? pair.key
        : document.getIn(fullPath.slice(0, length), true);
      if (isNode(node) && node.range) {
        return lineCounter.linePos(node.range[0]).line;
      }
    }
    return undefined;
  }
}

/** Formats the problems of a file that does not contain a well-formed document. */
export function describeFileProblems(
  path: string,
  error: ValidationError,
): string[] {
  return error.problems.map((problem) => {
    const location = problem.line === undefined
      ? path
      : `${path}:${problem.line}`;
    return `${location}: ${problem.path}: ${problem.reason}`;
  });
}
