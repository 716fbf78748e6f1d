/**
 * Streams the output and error files of a job from the partitions of its ranges. The owner of
 * each range supplies the index of its records; it is asked again if the records were carried
 * forward and dropped in the meantime.
 */

import { Buffer } from "node:buffer";
import type { LogClient } from "../../log/log-client.ts";
import { errorLine } from "../execution/item-outcome.ts";
import type { FileStore } from "../files/file-store.ts";
import type { ResultKind } from "../jobs/job-description.ts";
import type { FoundJob, JobClient } from "../jobs/job-client.ts";
import { rangeIndexMessage } from "../jobs/job-messages.ts";
import type { RangeSpec } from "../partition/entries.ts";
import { partitionStream } from "../partition/owner.ts";
import { partitionOf } from "../partition/partition-set.ts";
import { createRangeSpec, rangeCount, rangeKey } from "../partition/state.ts";
import { readRangeResults, ResultsMissingError } from "./range-results.ts";

export interface ResultReaderOptions {
  client: LogClient;
  jobs: JobClient;
  files: FileStore;
}

/** Index reads per range; repeated if records were carried forward while being read. */
const maximumIndexReads = 3;
const maximumBufferedBytes = 64 * 1024;

export class ResultReader {
  readonly #options: ResultReaderOptions;

  constructor(options: ResultReaderOptions) {
    this.#options = options;
  }

  async *read(
    { job, results }: FoundJob,
    kind: ResultKind,
    partitions: number,
  ): AsyncGenerator<Uint8Array> {
    const layout = {
      ...job,
      lines: job.counts.total,
      rangeItems: results.rangeItems,
    };
    let buffered: string[] = [];
    let bufferedLength = 0;
    for (let range = 0; range < rangeCount(layout); range++) {
      const spec = createRangeSpec(layout, range);
      for await (const text of this.#readRange(spec, kind, partitions)) {
        buffered.push(text, "\n");
        bufferedLength += text.length + 1;
        if (bufferedLength < maximumBufferedBytes) continue;
        yield Buffer.from(buffered.join(""));
        buffered = [];
        bufferedLength = 0;
      }
    }
    if (bufferedLength > 0) yield Buffer.from(buffered.join(""));
  }

  async *#readRange(
    spec: RangeSpec,
    kind: ResultKind,
    partitions: number,
  ): AsyncGenerator<string> {
    const { job, range } = spec;
    const partition = partitionOf(rangeKey(job, range), partitions);
    const seenLines = new Set<number>();
    for (let attempt = 1;; attempt++) {
      const index = await this.#options.jobs.requestFromOwner(
        partition,
        rangeIndexMessage,
        {
          partition,
          job,
          range,
        },
      );
      if (index.kind === "unknown-range") return;
      try {
        const results = readRangeResults({
          client: this.#options.client,
          stream: partitionStream(partition),
          job,
          range,
          lines: spec.lines,
          records: index.records,
          seenLines,
        });
        for await (const entry of results) {
          if (entry.isError === (kind === "error")) yield entry.text;
        }
      } catch (error) {
        const isResultMissing = error instanceof ResultsMissingError;
        if (!isResultMissing || attempt >= maximumIndexReads) throw error;
        continue;
      }
      if (kind === "error" && index.isCancelled) {
        yield* this.#readCancelledItems(
          spec,
          seenLines,
          new Set(index.mayHaveRun),
        );
      }
      return;
    }
  }

  /** Builds error lines for the items that have no result because their job was cancelled. */
  async *#readCancelledItems(
    spec: RangeSpec,
    seen: ReadonlySet<number>,
    mayHaveRun: ReadonlySet<number>,
  ): AsyncGenerator<string> {
    for (let line = 0; line < spec.lines; line++) {
      if (seen.has(line)) continue;
      const fileLine = spec.firstLine + line;
      const bytes = await this.#options.files.readLine(
        spec.inputFile,
        fileLine,
      );
      const { custom_id: customId } = JSON.parse(
        Buffer.from(bytes).toString("utf8"),
      ) as { custom_id: string };
      const identity = { job: spec.job, fileLine, customId };
      yield errorLine(identity, {
        code: "cancelled",
        message: "the job was cancelled before the item had a result",
        verdict: mayHaveRun.has(line) ? "unknown" : "not_run",
      });
    }
  }
}
