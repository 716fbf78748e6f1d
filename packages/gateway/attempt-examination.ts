/** Counts a failed attempt against its server, or finds out that the server has crashed. */

import type { Logger } from "../common/logging.ts";
import type { UpstreamServer } from "../fleet/upstreams.ts";
import type { CrashSuspect } from "../quarantine/crash-evidence.ts";
import type { AnswerRelay } from "./answer-relay.ts";
import type { CallerRequest } from "./caller-request.ts";
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

export interface FailedAttempt {
  readonly request: CallerRequest;
  readonly upstream: UpstreamServer;
  readonly failure: AttemptFailure;
  readonly relay: AnswerRelay;
  /** Whether the request may be sent again. */
  readonly repeats: boolean;
  readonly milliseconds: number;
}

export function logFailedAttempt(
  logger: Logger,
  { request, upstream, failure, relay, repeats, milliseconds }: FailedAttempt,
): void {
  logger.info("an attempt failed", {
    request: request.id ?? null,
    server: upstream.id,
    verdict: failure.verdict,
    reason: failure.reason,
    repeats,
    lastEvent: relay.lastEventId ?? null,
    status: relay.head?.status ?? null,
    hasBegun: relay.hasBegunAnswer,
    milliseconds: Math.round(milliseconds),
    promptParts: request.sharedPromptParts.join(" "),
  });
}
