/** What an action of the interface for callers is and what it gets to work with. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { BatchService } from "../../batch/batch-service.ts";
import type { Clock } from "../../common/clock.ts";
import type { RequestId } from "../../common/ids.ts";
import type { Logger } from "../../common/logging.ts";
import type { ControlView } from "../../control/control-state.ts";
import type { Limiter } from "../../limits/limiter.ts";
import type { OnlineRouter } from "../../routing/upstream-caller.ts";
import type { Admission } from "../admission/admission.ts";
import type { RequestLimits } from "../limits.ts";
import type { ServingMetrics } from "../metrics/serving-metrics.ts";

export interface CallerServices {
  readonly control: ControlView;
  readonly limiter: Limiter;
  readonly router: OnlineRouter;
  readonly batch: BatchService;
  readonly metrics: ServingMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly limits: RequestLimits;
}

export interface RequestContext {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Path as it was sent, without query. */
  readonly path: string;
  /** Query with its question mark, or empty. */
  readonly query: string;
  readonly parameters: Readonly<Record<string, string>>;
  readonly requestId: RequestId;
  /** Monotonic time at which the request arrived. */
  readonly startedAt: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly services: CallerServices;
}

export interface AdmittedContext extends RequestContext {
  readonly admission: Admission;
}

export interface CallerAction {
  /** Label in metrics. */
  readonly name: string;
  readonly method: string;
  /** Path with `:name` parameters. */
  readonly path: string;
  /**
   * When the token of the rate is taken: before the action, by the action itself once it knows
   * that the request is valid, or never. Reads take none, because a workspace that polls its
   * batches would otherwise be refused although it is within its rate.
   */
  readonly takesRateToken: "first" | "itself" | "never";
  handle(context: AdmittedContext): Promise<void>;
}
