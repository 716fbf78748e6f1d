/** Public parts of upstream routing. */

export {
  type BatchItemRunnerOptions,
  createBatchItemRunner,
} from "./batch-item-runner.ts";
export {
  type FirstTokenSample,
  UpstreamRouter,
  type UpstreamRouterOptions,
} from "./online-router.ts";
export { RetryBudget } from "./retry-budget.ts";
export {
  UpstreamClient,
  type UpstreamClientOptions,
  type UpstreamTimeouts,
} from "./upstream-client.ts";
export {
  UpstreamDirectory,
  type UpstreamDirectoryOptions,
  type UpstreamLookup,
} from "./upstream-directory.ts";
export { UpstreamHealth } from "./upstream-health.ts";
