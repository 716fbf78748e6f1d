/** Counts a failed attempt against its server, or finds out that the server has crashed. */

import type { UpstreamServer } from "../fleet/upstreams.ts";
import type { CrashSuspect } from "../quarantine/crash-evidence.ts";
import type { OnlineServices } from "./online-services.ts";
import type { AttemptFailure } from "./server-attempt.ts";

export interface AttemptExamination {
  readonly upstream: UpstreamServer;
  readonly failure: AttemptFailure;
  /** The request of the attempt, unless its answer had begun. */
  readonly suspect: CrashSuspect | undefined;
}

/** Resolves when the failure was counted. */
export async function examineAttempt(
  services: Pick<OnlineServices, "recordFailure" | "examineServer">,
  { upstream, failure, suspect }: AttemptExamination,
): Promise<void> {
  if (!failure.isConnectionBroken) {
    if (failure.isServerFault) services.recordFailure(upstream.id);
    return;
  }
  const hasCrashed = await services.examineServer(upstream, suspect);
  if (!hasCrashed) services.recordFailure(upstream.id);
}
