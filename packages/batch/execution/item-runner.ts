/**
 * Runs the call of one item under one capacity grant. A non-idempotent call, one that may not be
 * repeated, is sent only after its intent has been read back from the log. It is not aborted when
 * its grant is revoked or the partition is released: that would replace an answer by the error
 * `may_have_run`, and the service would still be busy with the call.
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
import { fileLine, isRunEnded } from "./range-run.ts";
import type { ReadyItem } from "./ready-items.ts";

export type RunOutcome =
  | (CallOutcome & { readonly requestId: RequestId })
  /** The item goes back to the ready items; the call does not count as an attempt. */
  | { readonly kind: "returned"; readonly isNotRun: boolean }
  /** The intent was not read back in time. The item goes back once it has been. */
  | { readonly kind: "intent-late"; readonly recorded: Promise<boolean> }
  /** The result is discarded: the range was cancelled or its epoch has ended. */
  | { readonly kind: "void" };

/** The item is no longer allowed to start. This says nothing about the health of the upstream. */
class ItemNotStartedError extends RosemaryrudderError {
  constructor() {
    super("item_not_started", "the item is no longer allowed to start");
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
    this.#options.recorder.markStarted(run, line);
    if (!item.isRepeatable) {
      const recorded = this.#options.recorder.recordIntent(run, line);
      const isInEffect = await withTimeout(recorded, intentTimeoutMilliseconds);
      if (isInEffect === undefined) return { kind: "intent-late", recorded };
      if (!isInEffect) return { kind: "void" };
    }
    if (run.discarded.signal.aborted || run.owner.isStopped) {
      return { kind: "void" };
    }
    return this.#canStart(item, grant)
      ? await this.#call(item, grant)
      : { kind: "returned", isNotRun: true };
  }

  #canStart({ run }: ReadyItem, grant: BatchGrant): boolean {
    return this.#options.control.isFresh() && !isRunEnded(run) &&
      !grant.revoked.aborted;
  }

  async #call(item: ReadyItem, grant: BatchGrant): Promise<RunOutcome> {
    const { run, isRepeatable } = item;
    const { spec } = run.range;
    const requestId = brandAs<RequestId>(randomUUID());
    const abort = new AbortController();
    const signals = isRepeatable
      ? [run.discarded.signal, run.draining.signal, grant.revoked]
      : [run.discarded.signal];
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
        // Checked again after connecting, which takes time in which the instance may have been
        // paused.
        checkBeforeSend: () => {
          if (!this.#canStart(item, grant)) throw new ItemNotStartedError();
        },
      });
      outcome = classifyAnswer(answer, { isRepeatable, requestId });
    } catch (error) {
      if (error instanceof ItemNotStartedError) {
        return run.discarded.signal.aborted
          ? { kind: "void" }
          : { kind: "returned", isNotRun: true };
      }
      if (abort.signal.aborted) {
        if (run.discarded.signal.aborted) return { kind: "void" };
        const isNotRun = error instanceof UpstreamError &&
          error.verdict === "not_run";
        return { kind: "returned", isNotRun };
      }
      outcome = classifyError(error, { isRepeatable, requestId });
    } finally {
      for (const signal of signals) signal.removeEventListener("abort", stop);
    }
    if (run.discarded.signal.aborted) return { kind: "void" };
    return { ...outcome, requestId };
  }
}
