/** Counters and latency histograms of the requests of callers. */

import type { ReceivedRequest } from "./caller-request.ts";
import type { OnlineOutcome } from "./online-services.ts";

export interface GatewayMetrics {
  countRefusal(code: string): void;
  noteFirstBytes(received: ReceivedRequest, now: number): void;
  noteOutcome(outcome: OnlineOutcome, now: number): void;
}

export const silentMetrics: GatewayMetrics = {
  countRefusal: () => {},
  noteFirstBytes: () => {},
  noteOutcome: () => {},
};
