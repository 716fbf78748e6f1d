/** JSON with sorted keys, so that the order of fields in a file makes no difference. */

import {
  replaceSection,
  type SectionValues,
} from "../control/configuration.ts";
import type { SectionName } from "../common/ids.ts";
import { emptySectionValues } from "../control/configuration.ts";
import { platformSectionName } from "../control/document.ts";

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

/** The section with all defaults filled in; undefined if it does not fit its schema. */
export function normalizedSection(
  name: SectionName,
  body: unknown,
): unknown {
  const { value } = replaceSection(emptySectionValues, name, body);
  return value && sectionValue(value, name);
}

export function sectionValue(values: SectionValues, name: SectionName) {
  return name === platformSectionName
    ? values.platform
    : values.teams.get(name);
}

/** Whether two bodies mean the same. */
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
