/**
 * Reads items of a range from the input file and decides whether they can run. An item ends with
 * an error if it may not run again, has used all its attempts or can never run; the others become
 * ready.
 */

import type { ControlView } from "../../control/control-state.ts";
import { type BatchItem, itemSchema } from "../files/line-parser.ts";
import { FileMissingError, type FileStore } from "../files/file-store.ts";
import { maximumAttempts } from "../constants.ts";
import { Buffer } from "node:buffer";
import { errorLine, type ItemFailure } from "./item-outcome.ts";
import { planItem } from "./item-target.ts";
import { mayHaveRun } from "../partition/state.ts";
import { fileLine, isSuspect, type RangeRun } from "./range-run.ts";
import type { ReadyItem } from "./ready-items.ts";

export type LoadedItem =
  | { readonly kind: "ready"; readonly item: ReadyItem }
  /** The item ends without a call; `text` is its line of the error file. */
  | { readonly kind: "ended"; readonly text: string }
  /** The item was in flight when an earlier owner was lost; it is not ready yet. */
  | { readonly kind: "suspect" };

export interface ItemLoaderOptions {
  files: FileStore;
  control: ControlView;
}

type Failure = Pick<ItemFailure, "code" | "message" | "verdict">;

export class ItemLoader {
  readonly #options: ItemLoaderOptions;

  constructor(options: ItemLoaderOptions) {
    this.#options = options;
  }

  /**
   * Loads the item of a line, counted from the start of the range. An item that was in flight when
   * an earlier owner was lost becomes ready only if `isSuspect` is set. An item whose line is no
   * longer stored ends; the call rejects if the line cannot be read.
   */
  async load(
    run: RangeRun,
    line: number,
    options: { isSuspect?: boolean } = {},
  ): Promise<LoadedItem> {
    const { range, owner } = run;
    const item = await this.#read(run, line);
    if (!item) {
      return endWithoutCall(run, line, "", {
        code: "input_missing",
        message: "the line of the input file is no longer stored",
        verdict: mayHaveRun(range, line) ? "unknown" : "not_run",
      });
    }
    const intent = range.intents.get(line);
    if (intent !== undefined && intent < owner.epoch.offset) {
      return endWithoutCall(run, line, item.custom_id, {
        code: "may_have_run",
        message: "the call may have run before its instance was lost",
        verdict: "unknown",
      });
    }
    const attempts = range.attempts.get(line);
    if (attempts && attempts.count >= maximumAttempts) {
      return endWithoutCall(run, line, item.custom_id, {
        code: attempts.code,
        message: `${attempts.message} (after ${attempts.count} attempts)`,
        verdict: "unknown",
      });
    }
    const plan = planItem(
      this.#options.control.state.configuration,
      range.spec.workspace,
      item,
    );
    if (plan.kind === "impossible") {
      const verdict = mayHaveRun(range, line) ? "unknown" : "not_run";
      return endWithoutCall(run, line, item.custom_id, { ...plan, verdict });
    }
    if (!options.isSuspect && isSuspect(run, line)) return { kind: "suspect" };
    return {
      kind: "ready",
      item: {
        run,
        line,
        customId: item.custom_id,
        method: item.method,
        path: item.url,
        body: Buffer.from(JSON.stringify(item.body)),
        targets: plan.targets,
        isRepeatable: plan.isRepeatable,
        isSuspect: options.isSuspect ?? false,
        refusals: 0,
      },
    };
  }

  async #read(run: RangeRun, line: number): Promise<BatchItem | undefined> {
    try {
      const bytes = await this.#options.files.readLine(
        run.range.spec.inputFile,
        fileLine(run, line),
      );
      return itemSchema.parse(
        JSON.parse(
          Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
            .toString("utf8"),
        ),
      );
    } catch (error) {
      if (error instanceof FileMissingError) return undefined;
      throw error;
    }
  }
}

function endWithoutCall(
  run: RangeRun,
  line: number,
  customId: string,
  failure: Failure,
): LoadedItem {
  const identity = {
    job: run.range.spec.job,
    fileLine: fileLine(run, line),
    customId,
  };
  return { kind: "ended", text: errorLine(identity, failure) };
}
