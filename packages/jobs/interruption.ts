/**
 * Handles an interrupted run of an item: it counts against the server, or the server has crashed, for
 * which the item may be the cause.
 */

import type { UpstreamServer } from "../fleet/upstreams.ts";
import type { ServerHealth } from "../gateway/server-health.ts";
import type { CrashDetector } from "../quarantine/crash-detector.ts";
import { itemCrashRetryMilliseconds } from "./constants.ts";
import type { RunOutcome } from "./item-run.ts";
import type { ItemWork } from "./work-table.ts";

export interface InterruptionContext {
  readonly upstream: UpstreamServer;
  /** Content of the answer had arrived. */
  readonly hasBegun: boolean;
  readonly health: ServerHealth;
  readonly crashDetector: CrashDetector;
  /** Monotonic milliseconds. */
  readonly now: () => number;
}

export async function recordInterruption(
  work: ItemWork,
  { isServerFault, isConnectionBroken }: Extract<
    RunOutcome,
    { kind: "interrupted" }
  >,
  { upstream, hasBegun, health, crashDetector, now }: InterruptionContext,
): Promise<void> {
  const suspect = hasBegun ? undefined : {
    request: work.itemId,
    sharedPromptParts: work.promptParts?.sharedPromptParts ?? [],
    ownPromptPart: work.promptParts?.ownPromptPart,
    runMilliseconds: now() - work.runStartedAt,
  };
  const hasCrashed = isConnectionBroken &&
    await crashDetector.examine(upstream, suspect);
  if (isServerFault && !hasCrashed) health.addFailure(upstream.id, now());
  if (!hasCrashed || hasBegun) return;
  work.crashes += 1;
  if (work.crashes < 2) return;
  work.retryAt = now() + itemCrashRetryMilliseconds * 2 ** (work.crashes - 2);
}
