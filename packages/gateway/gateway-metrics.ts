/** Counters and latency histograms of the requests of callers. */

import type { ReceivedRequest } from "./caller-request.ts";
import type { OnlineOutcome } from "./online-services.ts";

export interface GatewayMetrics {
  countRefusal(code: string): void;
  noteFirstBytes(
    received: ReceivedRequest,
    workspace: string,
    now: number,
  ): void;
  noteOutcome(outcome: OnlineOutcome, now: number): void;
}
