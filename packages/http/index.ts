/** Public parts of the interface for callers and operators. */

export {
  CallerServer,
  type CallerServerOptions,
} from "./server/caller-server.ts";
export {
  OperatorServer,
  type OperatorServerOptions,
  type Readiness,
} from "./operators/operator-server.ts";
export { ServingMetrics } from "./metrics/serving-metrics.ts";
export { defaultRequestLimits, type RequestLimits } from "./limits.ts";
