/**
 * Decides which sections of a file to publish and in which order: each publish must leave a
 * valid document, so an upstream is added before the routes to it and removed after them.
 */

import type { ValidationProblem } from "../common/errors.ts";
import type { SectionName } from "../common/ids.ts";
import {
  buildConfiguration,
  replaceSection,
  type SectionValues,
  type ValidationResult,
} from "../control/configuration.ts";
import { platformSectionName } from "../control/document.ts";
import type { ReducedControlState } from "../control/reduced-state.ts";
import { isSameSection } from "./canonical.ts";
import type { FileSection } from "./document-file.ts";

/** Whether the section means the same as the one in force. */
export function isUnchanged(
  state: ReducedControlState,
  { name, body }: FileSection,
): boolean {
  const current = state.sections.get(name);
  return current !== undefined &&
    isSameSection(name, JSON.parse(body), JSON.parse(current.body));
}

/** The sections in force with those of the file in their place. */
export function replaceSections(
  values: SectionValues,
  sections: readonly FileSection[],
): ValidationResult<SectionValues> {
  const problems: ValidationProblem[] = [];
  for (const { name, body } of sections) {
    const replaced = replaceSection(values, name, JSON.parse(body));
    if (replaced.value) values = replaced.value;
    else problems.push(...replaced.problems);
  }
  return problems.length > 0 ? { problems } : { value: values };
}

/** Problems of the document that would result from all the sections together. */
export function findProblems(
  state: ReducedControlState,
  sections: readonly FileSection[],
): readonly ValidationProblem[] {
  const replaced = replaceSections(state.values, sections);
  if (!replaced.value) return replaced.problems;
  return buildConfiguration(replaced.value, {
    sectionVersions: new Map(),
    partitions: state.values.platform?.partitions,
  }).problems ?? [];
}

/**
 * Sections in an order in which each step is valid. Those that are left over come last, as they
 * stand; the log's verdict then names their problems.
 */
export function orderPublishes(
  state: ReducedControlState,
  sections: readonly FileSection[],
): FileSection[] {
  const waiting = [...sections].sort((left, right) =>
    rankOf(left.name) - rankOf(right.name) || (left.name < right.name ? -1 : 1)
  );
  const ordered: FileSection[] = [];
  while (waiting.length > 0) {
    const next = waiting.findIndex((section) =>
      findProblems(state, [...ordered, section]).length === 0
    );
    if (next < 0) return [...ordered, ...waiting];
    ordered.push(...waiting.splice(next, 1));
  }
  return ordered;
}

function rankOf(name: SectionName): number {
  return name === platformSectionName ? 0 : 1;
}
