import type { CallerLimits } from "../configuration.ts";

/** For configurations of tests in which no request of a caller is read. */
export const unusedCallerLimits: CallerLimits = {
  maximumHeaderBytes: 1,
  maximumBodyBytes: 1,
  headerTimeoutMilliseconds: 1,
  idleTimeoutMilliseconds: 1,
};
