/** Settings of an entry instance, independent of the file or platform that they are read from. */

import type { Incarnation, InstanceId, ZoneId } from "../common/ids.ts";

export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

export interface EntrySettings {
  readonly instance: InstanceId;
  /** Differs at each start of the process. */
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  /** Capacity of the machine relative to others; 1 for a usual one. */
  readonly capacity: number;
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly peers: ListenAddress;
  readonly metrics: ListenAddress | undefined;
  /** True if the whole fleet starts for the first time, so that no earlier state can exist. */
  readonly isFirstStart: boolean;
  readonly store: ListenAddress & { readonly partitions: number };
  /** Largest number of instances that coordinate the others. */
  readonly maximumCoordinators?: number;
  /** Time between the request to stop and the forced termination of the process. */
  readonly graceMilliseconds: number;
  /** Length of the sliding window over which the limits of workspaces are evaluated. */
  readonly limitWindowMilliseconds: number;
  /** Share of a window's requests by which the fleet may exceed a limit; 0.1 is 10 %. */
  readonly limitOverage: number;
  /** Requests by which a window may exceed its limit in addition to the overage. */
  readonly limitSlackRequests: number;
  /** How long a finished job stays readable, counted from the time it was accepted. */
  readonly jobLifetimeMilliseconds: number;
  /**
   * Shortest time within which a change in the store must take effect at every instance; see
   * `ConnectionTimings`.
   */
  readonly reactionMilliseconds?: number;
}
