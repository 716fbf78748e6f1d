/**
 * Finds duplicate names in a document. A cheap check for any duplicate runs first, because a
 * document at full size holds thousands of names and almost never repeats one.
 */

import type { ValidationProblem } from "../common/errors.ts";
import type { SectionName } from "../common/ids.ts";
import type { TeamSection } from "./document.ts";

/** One use of a name that must be unique within its kind, and the path of the field. */
export interface NameUse {
  readonly kind: string;
  readonly name: string;
  readonly path: string;
  /** False if the name must not appear in messages; true by default. */
  readonly mayAppearInMessages?: boolean;
}

/** Returns a problem for each use of a name after its first. */
export function reportDuplicateNames(
  uses: Iterable<NameUse>,
): ValidationProblem[] {
  const firstPaths = new Map<string, string>();
  const problems: ValidationProblem[] = [];
  for (
    const { kind, name, path, mayAppearInMessages = true } of uses
  ) {
    const key = `${kind}\n${name}`;
    const firstPath = firstPaths.get(key);
    if (firstPath === undefined) firstPaths.set(key, path);
    else {
      const shown = mayAppearInMessages ? `${kind} '${name}'` : kind;
      problems.push({
        path,
        reason: `${shown} is already used by ${firstPath}`,
      });
    }
  }
  return problems;
}

type NamedSections = readonly (readonly [SectionName, TeamSection])[];

/** Returns problems for duplicate names of workspaces, keys and routes over all sections. */
export function findDuplicateNames(
  sections: NamedSections,
): ValidationProblem[] {
  return hasDuplicateNames(sections)
    ? reportDuplicateNames(listNameUses(sections))
    : [];
}

function hasDuplicateNames(sections: NamedSections): boolean {
  const workspaces = sections.flatMap(([, section]) => section.workspaces);
  const routes = sections.flatMap(([, section]) => section.routes);
  return hasDuplicates(workspaces.map(({ id }) => id)) ||
    hasDuplicates(
      workspaces.flatMap(({ keys }) => keys.map((key) => key.sha256)),
    ) ||
    workspaces.some(({ keys }) =>
      keys.length > 1 && hasDuplicates(keys.map(({ id }) => id))
    ) ||
    hasDuplicates(routes.map(({ id }) => id)) ||
    hasDuplicates(routes.map(({ pathPrefix }) => pathPrefix));
}

function hasDuplicates(names: readonly string[]): boolean {
  return new Set(names).size < names.length;
}

function* listNameUses(sections: NamedSections): Iterable<NameUse> {
  for (const [section, { workspaces, routes }] of sections) {
    for (const [index, { id, keys }] of workspaces.entries()) {
      const path = `${section}.workspaces.${index}`;
      yield { kind: "workspace", name: id, path: `${path}.id` };
      for (const [at, key] of keys.entries()) {
        const keyPath = `${path}.keys.${at}`;
        const kind = `key of workspace ${id}`;
        yield { kind, name: key.id, path: `${keyPath}.id` };
        yield {
          kind: "the same key",
          name: key.sha256,
          path: `${keyPath}.sha256`,
          mayAppearInMessages: false,
        };
      }
    }
    for (const [index, { id, pathPrefix }] of routes.entries()) {
      const path = `${section}.routes.${index}`;
      yield { kind: "route", name: id, path: `${path}.id` };
      const prefixPath = `${path}.pathPrefix`;
      yield { kind: "path prefix", name: pathPrefix, path: prefixPath };
    }
  }
}
