/** Holds the in-memory state of the unfinished items of the partitions that an instance owns. */

import type { InstanceId, JobId, PartitionNumber } from "../common/ids.ts";
import type { CallerRequest } from "../gateway/caller-request.ts";
import type { ItemRun, PartialOutput } from "./item-run.ts";
import type { JobState } from "./partition-state.ts";
import type { ItemProgress } from "./progress-store.ts";

export interface ItemWork {
  readonly partition: PartitionNumber;
  readonly job: JobId;
  /** Index of the item in its job. */
  readonly item: number;
  readonly itemId: string;
  /** Monotonic milliseconds. */
  readonly dueAt: number;
  /** Prompt tokens plus the largest number of output tokens. */
  readonly tokens: number;
  readonly output: PartialOutput;
  /** Parts of the prompt; undefined until they are needed. */
  promptParts:
    | Pick<CallerRequest, "sharedPromptParts" | "ownPromptPart">
    | undefined;
  run: ItemRun | undefined;
  /** Its body is being read, and a slot of the chosen server is reserved for it. */
  isStarting: boolean;
  /** Its present run was sent to find out whether its prompt crashes servers. */
  isTrial: boolean;
  /** Its result has been passed to the result writer, but may not be stored yet. */
  hasResult: boolean;
  /** Earliest time of the next run, in monotonic milliseconds. */
  retryAt: number;
  /** Since when the job's route is not in force, in monotonic milliseconds, if it is not. */
  routeMissingSince: number | undefined;
  /** Runs that this instance has started. */
  runs: number;
  runStartedAt: number;
  /** Events received before the run began, which is the id of the last one; 0 if none. */
  eventsAtRunStart: number;
  /** Interrupted runs at this instance, which lengthen the pause before the next. */
  interruptions: number;
  /** Runs at this instance whose server crashed before it began to answer. */
  crashes: number;
  /** Runs that failed at a server, those of earlier owners included. */
  failures: number;
  /** Servers at which a run failed; the next run goes to another one if there is any. */
  readonly failedAt: Set<InstanceId>;
}

export class WorkTable {
  readonly #byJob = new Map<JobId, Map<number, ItemWork>>();

  /** Returns the state of an item; a new one starts with the progress of an earlier owner. */
  getOrCreate(
    partition: PartitionNumber,
    state: JobState,
    item: number,
    itemId: string,
    { dueAt, tokens, progress }: {
      dueAt: number;
      tokens: number;
      progress: () => ItemProgress | undefined;
    },
  ): ItemWork {
    const job = state.record.job;
    const items = this.#byJob.get(job) ?? new Map<number, ItemWork>();
    this.#byJob.set(job, items);
    let work = items.get(item);
    if (!work) {
      const earlier = progress();
      work = {
        partition,
        job,
        item,
        itemId,
        dueAt,
        tokens,
        output: {
          eventData: earlier ? [earlier.text] : [],
          lastEventId: earlier?.lastEventId,
          oversizedRuns: 0,
          retainedUntil: state.record.retainedUntil,
        },
        promptParts: undefined,
        run: undefined,
        isStarting: false,
        isTrial: false,
        hasResult: false,
        retryAt: Number.NEGATIVE_INFINITY,
        routeMissingSince: undefined,
        runs: 0,
        runStartedAt: 0,
        eventsAtRunStart: 0,
        interruptions: 0,
        crashes: 0,
        failures: state.failures.get(item) ?? 0,
        failedAt: new Set(),
      };
      items.set(item, work);
    }
    return work;
  }

  has(work: ItemWork): boolean {
    return this.#byJob.get(work.job)?.get(work.item) === work;
  }

  delete(work: ItemWork): void {
    const items = this.#byJob.get(work.job);
    items?.delete(work.item);
    if (items?.size === 0) this.#byJob.delete(work.job);
  }

  ofJob(job: JobId): ItemWork[] {
    return [...this.#byJob.get(job)?.values() ?? []];
  }

  ofPartition(partition: PartitionNumber): ItemWork[] {
    return this.#all().filter((work) => work.partition === partition);
  }

  running(): ItemWork[] {
    return this.#all().filter((work) => work.run !== undefined);
  }

  #all(): ItemWork[] {
    return [...this.#byJob.values()].flatMap((items) => [...items.values()]);
  }
}
