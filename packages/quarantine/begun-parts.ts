/**
 * Collects the parts on which servers have begun answers, for the reports to other instances. A
 * part that many requests share is reported once in a while only.
 */

import type { PromptPartId, UpstreamName } from "../common/ids.ts";
import {
  begunReportIntervalMilliseconds,
  maximumBegunParts,
  maximumBegunPartsOfReport,
} from "./constants.ts";
import type { BegunReport } from "./crash-evidence.ts";

export class BegunParts {
  readonly #pending = new Set<PromptPartId>();
  /** When a part was last reported, the least recent first. */
  readonly #reportedAt = new Map<PromptPartId, number>();
  readonly #counts = new Map<UpstreamName, number>();

  add({ parts, counts }: BegunReport, now: number): void {
    for (const [service, count] of counts) {
      this.#counts.set(service, (this.#counts.get(service) ?? 0) + count);
    }
    for (const part of parts) {
      if (this.#pending.size >= maximumBegunParts) return;
      const reportedAt = this.#reportedAt.get(part);
      const isRecent = reportedAt !== undefined &&
        now - reportedAt < begunReportIntervalMilliseconds;
      if (!isRecent) this.#pending.add(part);
    }
  }

  take(now: number): BegunReport {
    const parts = [...this.#pending].slice(0, maximumBegunPartsOfReport);
    for (const part of parts) {
      this.#pending.delete(part);
      this.#reportedAt.delete(part);
      this.#reportedAt.set(part, now);
    }
    for (const [part, reportedAt] of this.#reportedAt) {
      if (now - reportedAt < begunReportIntervalMilliseconds) break;
      this.#reportedAt.delete(part);
    }
    const counts = [...this.#counts];
    this.#counts.clear();
    return { parts, counts };
  }
}
