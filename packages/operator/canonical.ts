/**
 * Canonical form of sections: keys are sorted and defaults filled in, so that neither the order
 * of fields in a file nor an omitted default makes a difference.
 */

import {
  replaceSection,
  type SectionValues,
} from "../control/configuration.ts";
import type { SectionName } from "../common/ids.ts";
import { emptySectionValues } from "../control/configuration.ts";
import { platformSectionName } from "../control/document.ts";

/** Serializes a value with sorted keys. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) => {
    if (part === null || typeof part !== "object" || Array.isArray(part)) {
      return part;
    }
    return Object.fromEntries(
      Object.entries(part).sort(([left], [right]) => left < right ? -1 : 1),
    );
  });
}

/** Returns the section with all defaults filled in, or undefined if it violates its schema. */
export function normalizedSection(
  name: SectionName,
  body: unknown,
): unknown {
  const { value } = replaceSection(emptySectionValues, name, body);
  return value && sectionValue(value, name);
}

/** Returns the platform section or the named team section. */
export function sectionValue(values: SectionValues, name: SectionName) {
  return name === platformSectionName
    ? values.platform
    : values.teams.get(name);
}

/** Whether two bodies of a section are equal once defaults are filled in. */
export function isSameSection(
  name: SectionName,
  left: unknown,
  right: unknown,
): boolean {
  const [first, second] = [left, right].map((body) =>
    canonicalJson(normalizedSection(name, body) ?? body)
  );
  return first === second;
}
