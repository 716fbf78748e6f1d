/** Settings of an entry instance, independent of the file or platform that they are read from. */

import type { ColdBounds } from "../fleet/cold/cold-rate.ts";
import type { RegionByZone } from "../fleet/regions.ts";
import type { MachineResources } from "../overload/resource-limits.ts";
import type { Incarnation, InstanceId, ZoneId } from "../common/ids.ts";

export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

export interface StoreSettings {
  readonly partitions: number;
  /** How long the store keeps every record, 20 s by default. */
  readonly historyMilliseconds?: number | undefined;
  /** Bytes that the store holds at most, 400 MB by default. */
  readonly capacityBytes?: number | undefined;
}

export interface EntrySettings {
  readonly instance: InstanceId;
  /** Differs at each start of the process. */
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  /** Capacity of the machine relative to others; 1 for a usual one. */
  readonly capacity: number;
  /** Undefined if several instances share one process, as in tests. */
  readonly machine?: MachineResources;
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly peers: ListenAddress;
  readonly metrics: ListenAddress | undefined;
  /** True if the whole fleet starts for the first time, so that no earlier state can exist. */
  readonly isFirstStart: boolean;
  readonly store: ListenAddress & StoreSettings;
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
  /** The region of each zone, as far as the settings name it. */
  readonly regionByZone?: RegionByZone;
  /** By how much the requests to a cold server may exceed its rate; the defaults if not given. */
  readonly coldBounds?: ColdBounds;
  /** How long a finished job stays readable, counted from the time it was accepted. */
  readonly jobLifetimeMilliseconds: number;
  /**
   * Shortest time within which a change in the store must take effect at every instance; see
   * `ConnectionTimings`.
   */
  readonly reactionMilliseconds?: number;
  /** Whether the speed of servers is learned from their answers; false if not set. */
  readonly learnsServerSpeeds?: boolean;
}
