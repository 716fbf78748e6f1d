/**
 * Builds the indexed configuration from the sections and validates the document as a whole: every
 * reference must resolve and names must be unique. Each problem has the path of its field.
 */

import type { z } from "zod";
import type { ValidationProblem } from "../common/errors.ts";
import type { JobId, SectionName, WorkspaceId } from "../common/ids.ts";
import type { Configuration, KeyOwner } from "./control-state.ts";
import {
  type PlatformSection,
  platformSectionName,
  platformSectionSchema,
  type Route,
  type TeamSection,
  teamSectionSchema,
  type Workspace,
} from "./document.ts";
import { indexPlatform, type PlatformIndex } from "./platform-index.ts";
import { findDuplicateNames } from "./duplicate-names.ts";

/** The sections, parsed by their schemas. */
export interface SectionValues {
  readonly platform: PlatformSection | undefined;
  readonly teams: ReadonlyMap<SectionName, TeamSection>;
}

export const emptySectionValues: SectionValues = {
  platform: undefined,
  teams: new Map(),
};

/** Either a value or the problems that prevent it. */
export type ValidationResult<Value> =
  | { readonly value: Value; readonly problems?: undefined }
  | {
    readonly value?: undefined;
    readonly problems: readonly ValidationProblem[];
  };

/** Parses one section and replaces it in the values. Paths of problems start with its name. */
export function replaceSection(
  values: SectionValues,
  section: SectionName,
  body: unknown,
): ValidationResult<SectionValues> {
  if (section === platformSectionName) {
    const result = platformSectionSchema.safeParse(body);
    if (!result.success) return { problems: schemaProblems(section, result) };
    return { value: { ...values, platform: result.data } };
  }
  const result = teamSectionSchema.safeParse(body);
  if (!result.success) return { problems: schemaProblems(section, result) };
  const teams = new Map(values.teams).set(section, result.data);
  return { value: { ...values, teams } };
}

function schemaProblems(
  section: SectionName,
  result: z.ZodSafeParseError<unknown>,
): ValidationProblem[] {
  return result.error.issues.flatMap((issue) => {
    const path = [section, ...issue.path.map(String)];
    if (issue.code !== "unrecognized_keys") {
      return [{ path: path.join("."), reason: issue.message }];
    }
    return issue.keys.map((key) => ({
      path: [...path, key].join("."),
      reason: "is not a known field",
    }));
  });
}

export interface BuildOptions {
  sectionVersions: ReadonlyMap<SectionName, number>;
  /** Current number of partitions, which must not change. Not checked if undefined. */
  partitions?: number | undefined;
}

/** Builds the configuration, or returns all problems of the document. */
export function buildConfiguration(
  values: SectionValues,
  options: BuildOptions,
): ValidationResult<Configuration> {
  const builder = new ConfigurationBuilder(values, options);
  return builder.build();
}

export function emptyConfiguration(): Configuration {
  const empty = buildConfiguration(emptySectionValues, {
    sectionVersions: new Map(),
  });
  if (!empty.value) throw new TypeError("the empty document must be valid");
  return empty.value;
}

/** Whether a section is empty, so that no team has to own it. */
function isEmptySection(section: TeamSection): boolean {
  return section.workspaces.length + section.routes.length +
      section.cancelledJobs.length === 0;
}

class ConfigurationBuilder {
  readonly #values: SectionValues;
  readonly #options: BuildOptions;
  readonly #problems: ValidationProblem[] = [];
  readonly #workspaces = new Map<WorkspaceId, Workspace>();
  readonly #workspaceSections = new Map<WorkspaceId, SectionName>();
  readonly #keys = new Map<string, KeyOwner>();
  readonly #routes: Route[] = [];
  readonly #cancelledJobs = new Map<SectionName, ReadonlySet<JobId>>();

  constructor(values: SectionValues, options: BuildOptions) {
    this.#values = values;
    this.#options = options;
  }

  build(): ValidationResult<Configuration> {
    const { platform } = this.#values;
    const { partitions, sectionVersions } = this.#options;
    const { upstreams, engines, problems } = indexPlatform(platform);
    this.#problems.push(...problems);
    if (partitions !== undefined && platform?.partitions !== partitions) {
      this.#report(
        "platform.partitions",
        `cannot change from ${partitions} to ${platform?.partitions}`,
      );
    }
    // Sections are sorted by name, so that every reader reports problems in the same order.
    const sections = [...this.#values.teams]
      .sort(([left], [right]) => left < right ? -1 : 1);
    for (const [name, section] of sections) {
      this.#addWorkspaces(name, section, engines);
    }
    for (const [name, section] of sections) {
      this.#addRoutes(name, section, upstreams);
    }
    this.#problems.push(...findDuplicateNames(sections));
    if (platform) this.#checkOwners(platform, sections);
    if (this.#problems.length > 0) return { problems: this.#problems };
    return {
      value: {
        platform,
        sectionVersions,
        workspaces: this.#workspaces,
        workspaceSections: this.#workspaceSections,
        keys: this.#keys,
        upstreams,
        engines,
        routes: this.#routes.sort((left, right) =>
          right.pathPrefix.length - left.pathPrefix.length ||
          (left.pathPrefix < right.pathPrefix ? -1 : 1)
        ),
        cancelledJobs: new Set(
          [...this.#cancelledJobs.values()].flatMap((jobs) => [...jobs]),
        ),
        cancelledJobsBySection: this.#cancelledJobs,
      },
    };
  }

  #report(path: string, reason: string): void {
    this.#problems.push({ path, reason });
  }

  #addWorkspaces(
    name: SectionName,
    section: TeamSection,
    engines: PlatformIndex["engines"],
  ): void {
    section.workspaces.forEach((workspace, index) => {
      const { id, models = [], keys } = workspace;
      this.#workspaces.set(id, workspace);
      this.#workspaceSections.set(id, name);
      for (const key of keys) {
        this.#keys.set(key.sha256, { workspace: id, key: key.id });
      }
      models.forEach((model, at) => {
        if (engines.has(model)) return;
        this.#report(
          `${name}.workspaces.${index}.models.${at}`,
          `no engine serves '${model}'`,
        );
      });
    });
    if (section.cancelledJobs.length > 0) {
      this.#cancelledJobs.set(name, new Set(section.cancelledJobs));
    }
  }

  #addRoutes(
    name: SectionName,
    section: TeamSection,
    upstreams: PlatformIndex["upstreams"],
  ): void {
    section.routes.forEach((route, index) => {
      const path = `${name}.routes.${index}`;
      this.#checkPrefix(route.pathPrefix, `${path}.pathPrefix`);
      if (route.openToAll && route.workspaces !== undefined) {
        this.#report(
          `${path}.workspaces`,
          "must be absent because the route is open to all",
        );
      }
      route.upstreams.forEach((upstream, at) => {
        const found = upstreams.get(upstream);
        const reason = found === undefined
          ? `upstream '${upstream}' does not exist`
          : found.kind !== "plain"
          ? `upstream '${upstream}' is not a plain service`
          : undefined;
        if (reason) this.#report(`${path}.upstreams.${at}`, reason);
      });
      route.workspaces?.forEach((workspace, at) => {
        if (!this.#workspaces.has(workspace)) {
          this.#report(
            `${path}.workspaces.${at}`,
            `workspace '${workspace}' does not exist`,
          );
        }
      });
      this.#routes.push(route);
    });
  }

  #checkPrefix(prefix: string, path: string): void {
    const segments = prefix.split("/").slice(1);
    if (segments.some((part) => part === "" || part === "." || part === "..")) {
      this.#report(path, "must not have empty, '.' or '..' segments");
    }
    if (segments[0] === "v1") {
      this.#report(path, "collides with /v1, which the system serves itself");
    }
  }

  #checkOwners(
    platform: PlatformSection,
    sections: readonly (readonly [SectionName, TeamSection])[],
  ): void {
    const owned = new Set(platform.teams.flatMap((team) => team.sections));
    if (!owned.has(platformSectionName)) {
      this.#report("platform.teams", "no team owns the section 'platform'");
    }
    for (const [name, section] of sections) {
      if (!owned.has(name) && !isEmptySection(section)) {
        this.#report(
          "platform.teams",
          `no team owns the section '${name}', which is not empty`,
        );
      }
    }
  }
}

/**
 * Whether the document lists the job as cancelled. Only the section that defines the job's
 * workspace counts, so that a team cannot cancel the jobs of another team.
 */
export function isJobCancelled(
  configuration: Configuration,
  workspace: WorkspaceId,
  job: JobId,
): boolean {
  const section = configuration.workspaceSections.get(workspace);
  return section !== undefined &&
    configuration.cancelledJobsBySection.get(section)?.has(job) === true;
}
