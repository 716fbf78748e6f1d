/**
 * Accepts or rejects a publish of one section. Of concurrent publishes with the same base
 * version, the first valid one in log order is accepted and the others conflict with it.
 */

import type { ValidationProblem } from "../common/errors.ts";
import type { Offset } from "../common/ids.ts";
import {
  buildConfiguration,
  replaceSection,
  type SectionValues,
  type ValidationResult,
} from "./configuration.ts";
import { maximumReportedProblems, maximumStoredVerdicts } from "./constants.ts";
import { platformSectionName } from "./document.ts";
import type { Configuration } from "./control-state.ts";
import {
  appendBounded,
  type PublishVerdict,
  type ReducedControlState,
} from "./reduced-state.ts";
import type { SectionPublished } from "./records.ts";
import { publishId, verifyPublish } from "./signing.ts";

export function applyPublish(
  state: ReducedControlState,
  entry: SectionPublished,
  offset: Offset,
): ReducedControlState {
  const id = publishId(entry);
  // A repeated publish keeps its verdict if it was accepted. A rejected one had no effect and is
  // decided again, because what it refers to may exist by now.
  if (state.verdicts.get(id)?.verdict.outcome === "accepted") return state;
  const decision = decidePublish(state, entry);
  const verdicts = appendBounded(state.verdicts, id, {
    section: entry.section,
    offset,
    verdict: decision.verdict,
  }, maximumStoredVerdicts);
  if (!decision.next) return { ...state, verdicts };
  const { values, configuration, version } = decision.next;
  const sections = new Map(state.sections)
    .set(entry.section, { version, body: entry.body });
  return { ...state, verdicts, sections, values, configuration };
}

interface PublishDecision {
  readonly verdict: PublishVerdict;
  readonly next?: {
    readonly values: SectionValues;
    readonly configuration: Configuration;
    readonly version: number;
  };
}

function decidePublish(
  state: ReducedControlState,
  entry: SectionPublished,
): PublishDecision {
  const currentVersion = state.sections.get(entry.section)?.version ?? 0;
  const proposed = parseSection(state.values, entry);
  // The first publish of `platform` is verified with a key that it contains itself.
  const isFirst = state.values.platform === undefined &&
    entry.section === platformSectionName;
  if (isFirst && !proposed.value) return rejectAsInvalid(proposed.problems);
  const platform = isFirst ? proposed.value?.platform : state.values.platform;
  const team = platform?.teams.find(({ name }) => name === entry.team);
  if (!team) return { verdict: { outcome: "not_owner" } };
  if (!verifyPublish(entry, team.publicKey, entry.signature)) {
    return { verdict: { outcome: "bad_signature" } };
  }
  if (!team.sections.includes(entry.section)) {
    return { verdict: { outcome: "not_owner" } };
  }
  if (entry.baseVersion !== currentVersion) {
    return { verdict: { outcome: "conflict", currentVersion } };
  }
  if (!proposed.value) return rejectAsInvalid(proposed.problems);
  const version = currentVersion + 1;
  const built = buildConfiguration(proposed.value, {
    sectionVersions: new Map(state.configuration.sectionVersions)
      .set(entry.section, version),
    partitions: state.values.platform?.partitions,
  });
  if (!built.value) return rejectAsInvalid(built.problems);
  return {
    verdict: { outcome: "accepted", version },
    next: { values: proposed.value, configuration: built.value, version },
  };
}

function rejectAsInvalid(
  problems: readonly ValidationProblem[],
): PublishDecision {
  return {
    verdict: {
      outcome: "invalid",
      problems: problems.slice(0, maximumReportedProblems),
    },
  };
}

function parseSection(
  values: SectionValues,
  { section, body }: SectionPublished,
): ValidationResult<SectionValues> {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    return { problems: [{ path: section, reason: "the body is not JSON" }] };
  }
  return replaceSection(values, section, value);
}
