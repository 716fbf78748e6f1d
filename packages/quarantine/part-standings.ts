/** Assesses parts by the evidence, again only after the evidence has changed or some time passed. */

import type { PromptPartId } from "../common/ids.ts";
import {
  assessmentLifetimeMilliseconds,
  maximumBegunParts,
} from "./constants.ts";
import type { CrashEvidence } from "./crash-evidence.ts";
import {
  assessPart,
  mayBeSuspected,
  type PartAssessment,
  type PartStanding,
} from "./part-odds.ts";

export interface PartStandingsOptions {
  readonly evidence: CrashEvidence;
  readonly isConvicted: (part: PromptPartId) => boolean;
  /** Monotonic milliseconds. */
  readonly now: () => number;
}

interface DatedAssessment {
  readonly assessment: PartAssessment;
  readonly version: number;
  readonly at: number;
}

export class PartStandings {
  readonly #options: PartStandingsOptions;
  readonly #assessments = new Map<PromptPartId, DatedAssessment>();

  constructor(options: PartStandingsOptions) {
    this.#options = options;
  }

  of(part: PromptPartId): PartStanding {
    const { evidence } = this.#options;
    const crashes = evidence.countCrashes(part);
    const hasBegunBefore = evidence.lastBegunAt(part) !== undefined;
    return crashes > 0 && mayBeSuspected({ crashes, hasBegunBefore })
      ? this.assess(part).standing
      : "clear";
  }

  assess(part: PromptPartId): PartAssessment {
    const { evidence, isConvicted } = this.#options;
    const now = this.#options.now();
    const { version } = evidence;
    const known = this.#assessments.get(part);
    const isCurrent = known?.version === version &&
      now - known.at < assessmentLifetimeMilliseconds;
    if (isCurrent) return known.assessment;
    if (this.#assessments.size >= maximumBegunParts) this.#assessments.clear();
    const assessment = assessPart(evidence.countsOf(part, isConvicted, now));
    this.#assessments.set(part, { assessment, version, at: now });
    return assessment;
  }
}
