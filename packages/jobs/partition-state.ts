/**
 * Builds the state of the jobs of one partition from its records. The state depends only on the
 * records and their order, so all instances that have read up to the same offset hold the same
 * results at the same positions. Only the first result of an item counts; later ones come from
 * repeated runs and are ignored.
 */

import type { JobId } from "../common/ids.ts";
import type {
  BatchRecord,
  GroupRecord,
  ItemResult,
  JobRecord,
  TextRecord,
} from "./records.ts";

export interface JobState {
  readonly record: JobRecord;
  /** In the order of the records; callers read results by their position in this list. */
  readonly results: ItemResult[];
  /** Indexes of the items that have a result. */
  readonly finished: Set<number>;
  /** Failure counts of unfinished items, by the index of the item. */
  readonly failures: Map<number, number>;
  /** Tokens of all items. */
  readonly totalTokens: number;
  /** Tokens of the items that have a result. */
  finishedTokens: number;
  /** The caller has ended the job. */
  isEnded: boolean;
}

interface PendingGroup {
  readonly key: string;
  readonly group: GroupRecord;
}

export class PartitionState {
  readonly #jobs = new Map<JobId, JobState>();
  /** Jobs whose end has been read; a job that is read after its end never runs. */
  readonly #endedJobs = new Set<JobId>();
  /** Results and failure counts that were read before the job they belong to. */
  readonly #pendingGroups: PendingGroup[] = [];
  /** Parts of texts whose result has not been read yet, by the job and the id of the text. */
  readonly #texts = new Map<JobId, Map<string, string[]>>();
  #resultBytes = 0;

  /** Size of the texts of all results, as characters of one byte. */
  get resultBytes(): number {
    return this.#resultBytes;
  }

  job(id: JobId): JobState | undefined {
    return this.#jobs.get(id);
  }

  isEnded(id: JobId): boolean {
    return this.#endedJobs.has(id);
  }

  jobs(): Iterable<JobState> {
    return this.#jobs.values();
  }

  /** Applies a record and returns the jobs that changed; failure counts are no change. */
  apply(record: BatchRecord, key = ""): JobId[] {
    switch (record.kind) {
      case "job":
        return this.#applyJob(record);
      case "end": {
        this.#endedJobs.add(record.job);
        const state = this.#jobs.get(record.job);
        if (state) state.isEnded = true;
        return [record.job];
      }
      case "group":
        return this.#applyGroup(record, key);
      case "text":
        this.#applyText(record);
        return [];
    }
  }

  /** Removes a job whose record was removed from the store. */
  removeJob(id: JobId): void {
    for (const { text } of this.#jobs.get(id)?.results ?? []) {
      this.#resultBytes -= text.length;
    }
    for (const parts of this.#texts.get(id)?.values() ?? []) {
      this.#resultBytes -= lengthOf(parts);
    }
    this.#jobs.delete(id);
    this.#endedJobs.delete(id);
    this.#texts.delete(id);
  }

  /** Forgets a group of unknown jobs whose record was removed from the store. */
  removeGroup(key: string): void {
    const index = this.#pendingGroups.findIndex((group) => group.key === key);
    if (index < 0) return;
    const [removed] = this.#pendingGroups.splice(index, 1);
    this.#resultBytes -= lengthOf(textsOf(removed!.group));
  }

  #applyJob(record: JobRecord): JobId[] {
    // A retried submission writes the same job again.
    if (this.#jobs.has(record.job)) return [];
    this.#jobs.set(record.job, {
      record,
      results: [],
      finished: new Set(),
      failures: new Map(),
      totalTokens: record.items.reduce((sum, { tokens }) => sum + tokens, 0),
      finishedTokens: 0,
      isEnded: this.#endedJobs.has(record.job),
    });
    const pending = this.#pendingGroups.splice(0);
    for (const { group, key } of pending) {
      this.#resultBytes -= lengthOf(textsOf(group));
      this.#applyGroup(group, key);
    }
    return [record.job];
  }

  #applyText({ job, id, part, text }: TextRecord): void {
    const texts = this.#texts.get(job) ?? new Map<string, string[]>();
    this.#texts.set(job, texts);
    const parts = texts.get(id) ?? [];
    texts.set(id, parts);
    this.#resultBytes += text.length - (parts[part]?.length ?? 0);
    parts[part] = text;
  }

  /** Returns the result with its whole text, or undefined if a part is missing. */
  #completeText(result: ItemResult): ItemResult | undefined {
    const { job, item, state, parts: reference } = result;
    if (!reference) return result;
    const texts = this.#texts.get(job);
    const parts = texts?.get(reference.id) ?? [];
    texts?.delete(reference.id);
    this.#resultBytes -= lengthOf(parts);
    if (texts?.size === 0) this.#texts.delete(job);
    for (let part = 0; part < reference.count; part++) {
      if (parts[part] === undefined) return undefined;
    }
    return { job, item, state, text: parts.join("") };
  }

  #applyGroup(group: GroupRecord, key: string): JobId[] {
    const changed = new Set<JobId>();
    const unmatched: GroupRecord = {
      kind: "group",
      results: group.results.filter((entry) => !this.#jobs.has(entry.job)),
      failures: group.failures.filter((entry) => !this.#jobs.has(entry.job)),
    };
    if (unmatched.results.length + unmatched.failures.length > 0) {
      this.#pendingGroups.push({ key, group: unmatched });
      this.#resultBytes += lengthOf(textsOf(unmatched));
    }
    for (const stored of group.results) {
      const state = this.#jobs.get(stored.job);
      const item = state?.record.items[stored.item];
      // A result of no item would count as one of the items that are finished.
      if (!state || !item) continue;
      const result = this.#completeText(stored);
      if (!result || state.finished.has(result.item)) continue;
      state.finished.add(result.item);
      state.finishedTokens += item.tokens;
      state.results.push(result);
      this.#resultBytes += result.text.length;
      state.failures.delete(result.item);
      changed.add(result.job);
    }
    for (const { job, item, count } of group.failures) {
      const state = this.#jobs.get(job);
      if (!state || state.finished.has(item)) continue;
      state.failures.set(item, Math.max(count, state.failures.get(item) ?? 0));
    }
    return [...changed];
  }
}

function textsOf({ results }: GroupRecord): string[] {
  return results.map(({ text }) => text);
}

/** Parts that have not been read are missing in the list. */
function lengthOf(texts: readonly (string | undefined)[]): number {
  return texts.reduce((sum, text) => sum + (text?.length ?? 0), 0);
}
