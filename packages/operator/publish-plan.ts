/**
 * Decides which sections of a file to publish and in which order. The document must be valid
 * after each publish, so an upstream is added before the routes to it and removed after them.
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

/** Whether the section equals the one in force once defaults are filled in. */
export function isUnchanged(
  state: ReducedControlState,
  { name, body }: FileSection,
): boolean {
  const current = state.sections.get(name);
  return current !== undefined &&
    isSameSection(name, JSON.parse(body), JSON.parse(current.body));
}

/** Returns the sections in force, with those of the file replacing or joining them. */
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

/** Returns the problems of the document that publishing all the sections would result in. */
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
 * Orders the sections so that the document is valid after each publish. Sections for which there
 * is no such order come last; publishing them then reports their problems.
 */
export function orderPublishes(
  state: ReducedControlState,
  sections: readonly FileSection[],
): FileSection[] {
  const remaining = [...sections].sort((left, right) =>
    publishRank(left.name) - publishRank(right.name) ||
    (left.name < right.name ? -1 : 1)
  );
  const ordered: FileSection[] = [];
  while (remaining.length > 0) {
    const next = remaining.findIndex((section) =>
      findProblems(state, [...ordered, section]).length === 0
    );
    if (next < 0) return [...ordered, ...remaining];
    ordered.push(...remaining.splice(next, 1));
  }
  return ordered;
}

/** The platform section, to which the others refer, is tried first. */
function publishRank(name: SectionName): number {
  return name === platformSectionName ? 0 : 1;
}
