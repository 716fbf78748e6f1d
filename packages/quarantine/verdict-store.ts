/** Writes verdicts on prompt parts to the store, where all instances read them. */

import type {
  PartitionNumber,
  PromptPartId,
  StreamName,
} from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import type {
  KeyedEntry,
  KeyedStore,
  StreamPartition,
} from "../store/keyed-store.ts";
import { retryPauseMilliseconds } from "../store/retry-pause.ts";
import { writeRetryMilliseconds } from "./constants.ts";
import {
  claimEntry,
  type TrialClaim,
  type Verdict,
  verdictEntry,
} from "./verdict-records.ts";

export interface VerdictStoreOptions {
  readonly store: KeyedStore;
  readonly stream: StreamName;
  readonly logger: Logger;
}

export class VerdictStore {
  readonly target: StreamPartition;
  readonly #options: VerdictStoreOptions;
  /** The newest entries of each part that are not stored yet. */
  readonly #unwritten = new Map<PromptPartId, readonly KeyedEntry[]>();
  readonly #claiming = new Set<PromptPartId>();
  #isWriting = false;
  #isStopped = false;

  constructor(options: VerdictStoreOptions) {
    this.#options = options;
    this.target = {
      stream: options.stream,
      partition: 0 as PartitionNumber,
    };
  }

  /** True while a change of the verdict on the part is not confirmed to be stored. */
  isWriting(part: PromptPartId): boolean {
    return this.#unwritten.has(part);
  }

  /** Writes the verdict, with retries until it is stored. */
  write(verdict: Verdict): void {
    this.#enqueue(verdict.part, [verdictEntry(verdict)]);
  }

  /** Removes a verdict and its claims, with retries until that is stored. */
  release(part: PromptPartId, entries: readonly KeyedEntry[]): void {
    this.#enqueue(part, entries);
  }

  /** Removes a verdict and its claims; rejects if the store does not confirm it. */
  async remove(
    part: PromptPartId,
    entries: readonly KeyedEntry[],
  ): Promise<void> {
    this.#unwritten.delete(part);
    await this.#options.store.append(this.target, entries);
  }

  /** Claims a trial; a claim that fails may be repeated. */
  claim(claim: TrialClaim): void {
    if (this.#claiming.has(claim.part)) return;
    this.#claiming.add(claim.part);
    this.#options.store.append(this.target, [claimEntry(claim)])
      .catch((error) =>
        this.#options.logger.warn("a trial could not be claimed", {
          part: claim.part,
          reason: String(error),
        })
      )
      .finally(() => this.#claiming.delete(claim.part));
  }

  stop(): void {
    this.#isStopped = true;
  }

  #enqueue(part: PromptPartId, entries: readonly KeyedEntry[]): void {
    this.#unwritten.set(part, entries);
    if (!this.#isWriting) void this.#writeAll();
  }

  async #writeAll(): Promise<void> {
    this.#isWriting = true;
    let attempt = 0;
    while (this.#unwritten.size > 0 && !this.#isStopped) {
      const changes = [...this.#unwritten];
      try {
        await this.#options.store.append(
          this.target,
          changes.flatMap(([, entries]) => entries),
        );
        for (const [part, entries] of changes) {
          if (this.#unwritten.get(part) === entries) {
            this.#unwritten.delete(part);
          }
        }
        attempt = 0;
      } catch (error) {
        this.#options.logger.warn("verdicts could not be written", {
          parts: changes.map(([part]) => part).join(" "),
          reason: String(error),
        });
        attempt += 1;
        await delay(
          systemTimers,
          retryPauseMilliseconds(error, {
            attempt,
            baseMilliseconds: writeRetryMilliseconds,
          }),
        );
      }
    }
    this.#isWriting = false;
  }
}
