/** Size limits for the bodies of callers' requests. */

import {
  maximumFileBytes,
  maximumJsonBytes,
  maximumRouteBodyBytes,
} from "./constants.ts";

export interface RequestLimits {
  /** JSON body of a chat or batch request. */
  readonly jsonBytes: number;
  /** Body of a request to a plain service. */
  readonly routeBodyBytes: number;
  /** Uploaded file. */
  readonly fileBytes: number;
}

export const defaultRequestLimits: RequestLimits = {
  jsonBytes: maximumJsonBytes,
  routeBodyBytes: maximumRouteBodyBytes,
  fileBytes: maximumFileBytes,
};
