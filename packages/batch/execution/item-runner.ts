/**
 * Runs one item under one grant. A call that may not be repeated is sent only after its intent
 * has been read back, and is not aborted when its grant is revoked or the partition is
 * released: aborting it would turn an answer into `may_have_run` without freeing the service.
 */

import { randomUUID } from "node:crypto";
import type { BatchGrant } from "../../capacity/capacity.ts";
import { RosemaryrudderError, UpstreamError } from "../../common/errors.ts";
import { brandAs, type RequestId } from "../../common/ids.ts";
import type { ControlView } from "../../control/control-state.ts";
import type { RunBatchItem } from "../../routing/upstream-caller.ts";
import { intentTimeoutMilliseconds } from "../constants.ts";
import { withTimeout } from "../timing.ts";
import {
  type CallOutcome,
  classifyAnswer,
  classifyError,
} from "./item-outcome.ts";
import type { ItemRecorder } from "./item-recorder.ts";
import { fileLine, isOver } from "./range-run.ts";
import type { ReadyItem } from "./ready-items.ts";

export type RunOutcome =
  | (CallOutcome & { readonly requestId: RequestId })
  /** The item goes back without an attempt. */
  | { readonly kind: "returned"; readonly isNotRun: boolean }
  /** The item goes back once its late intent is in the log. */
  | { readonly kind: "intent-late"; readonly recorded: Promise<boolean> }
  /** The result does not count any more. */
  | { readonly kind: "void" };

/** The item must not start any more. It says nothing about the upstream's health. */
class ItemNotStartedError extends RosemaryrudderError {
  constructor() {
    super("item_not_started", "the item must not start any more");
  }
}

export interface ItemRunnerOptions {
  control: ControlView;
  runItem: RunBatchItem;
  recorder: ItemRecorder;
}

export class ItemRunner {
  readonly #options: ItemRunnerOptions;

  constructor(options: ItemRunnerOptions) {
    this.#options = options;
  }

  async run(item: ReadyItem, grant: BatchGrant): Promise<RunOutcome> {
    const { run, line } = item;
    this.#options.recorder.noteStarted(run, line);
    if (!item.isRepeatable) {
      const recorded = this.#options.recorder.recordIntent(run, line);
      const isInEffect = await withTimeout(recorded, intentTimeoutMilliseconds);
      if (isInEffect === undefined) return { kind: "intent-late", recorded };
      if (!isInEffect) return { kind: "void" };
    }
    if (run.void.signal.aborted || run.owner.isStopped) return { kind: "void" };
    return this.#mayStart(item, grant)
      ? await this.#call(item, grant)
      : { kind: "returned", isNotRun: true };
  }

  #mayStart({ run }: ReadyItem, grant: BatchGrant): boolean {
    return this.#options.control.isFresh() && !isOver(run) &&
      !grant.revoked.aborted;
  }

  async #call(item: ReadyItem, grant: BatchGrant): Promise<RunOutcome> {
    const { run, isRepeatable } = item;
    const { spec } = run.range;
    const requestId = brandAs<RequestId>(randomUUID());
    const abort = new AbortController();
    const signals = isRepeatable
      ? [run.void.signal, run.draining.signal, grant.revoked]
      : [run.void.signal];
    const stop = () => abort.abort();
    for (const signal of signals) signal.addEventListener("abort", stop);
    let outcome: CallOutcome;
    try {
      const answer = await this.#options.runItem({
        job: spec.job,
        workspace: grant.workspace,
        file: spec.inputFile,
        line: fileLine(run, item.line),
        upstream: grant.upstream,
        method: item.method,
        path: item.path,
        body: item.body,
        requestId,
        isRepeatable,
        signal: abort.signal,
        // Connecting takes time, and the instance may have been paused meanwhile.
        checkBeforeSend: () => {
          if (!this.#mayStart(item, grant)) throw new ItemNotStartedError();
        },
      });
      outcome = classifyAnswer(answer, { isRepeatable, requestId });
    } catch (error) {
      if (error instanceof ItemNotStartedError) {
        return run.void.signal.aborted
          ? { kind: "void" }
          : { kind: "returned", isNotRun: true };
      }
      if (abort.signal.aborted) {
        if (run.void.signal.aborted) return { kind: "void" };
        const isNotRun = error instanceof UpstreamError &&
          error.verdict === "not_run";
        return { kind: "returned", isNotRun };
      }
      outcome = classifyError(error, { isRepeatable, requestId });
    } finally {
      for (const signal of signals) signal.removeEventListener("abort", stop);
    }
    if (run.void.signal.aborted) return { kind: "void" };
    return { ...outcome, requestId };
  }
}
