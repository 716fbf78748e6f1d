/** Sizes that a caller's request may have. */

import {
  maximumFileBytes,
  maximumJsonBytes,
  maximumRouteBodyBytes,
} from "./constants.ts";

export interface RequestLimits {
  readonly jsonBytes: number;
  readonly routeBodyBytes: number;
  readonly fileBytes: number;
}

export const defaultRequestLimits: RequestLimits = {
  jsonBytes: maximumJsonBytes,
  routeBodyBytes: maximumRouteBodyBytes,
  fileBytes: maximumFileBytes,
};
