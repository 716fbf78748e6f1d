/** The metrics that the gateway records: counters and latency summaries of callers' requests. */

import type { ReceivedRequest } from "./caller-request.ts";
import type { OnlineOutcome } from "./online-services.ts";

export interface GatewayMetrics {
  /** Counts a request that was refused before it was sent, by its error code. */
  countRefusal(code: string): void;
  /** Counts a request that servers at their limits made wait or that was refused for them. */
  countHeldSend(outcome: "waited" | "refused"): void;
  /** `now` is in monotonic milliseconds, here and below. */
  recordFirstBytes(
    received: ReceivedRequest,
    workspace: string,
    now: number,
  ): void;
  recordOutcome(outcome: OnlineOutcome, now: number): void;
}
