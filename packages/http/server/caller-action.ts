/** Types of the actions, which handle the endpoints of the caller-facing API. */

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

/** Services that the actions use. */
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

/** A request with its response and the services that handle it. */
export interface RequestContext {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Path as sent, not decoded, without query. */
  readonly path: string;
  /** Query with its leading question mark, or empty. */
  readonly query: string;
  /** Values of the path's `:name` parameters. */
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

/** One endpoint of the caller-facing API. */
export interface CallerAction {
  /** Value of the label `action` in metrics. */
  readonly name: string;
  readonly method: string;
  /** Path with `:name` parameters. */
  readonly path: string;
  /**
   * When a token is taken from the workspace's token bucket: before the action runs ("first"), by
   * the action itself once it knows that the request is valid, or never. Reads take none: a
   * workspace that polls its batches would otherwise be refused although its rate of other requests
   * is within the limit.
   */
  readonly takesRateToken: "first" | "itself" | "never";
  handle(context: AdmittedContext): Promise<void>;
}
