/** Settings of an entry instance, whatever file or platform they come from. */

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
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly peers: ListenAddress;
  readonly metrics: ListenAddress | undefined;
  /** The whole fleet starts for the first time, so that no state of before can exist. */
  readonly isFirstStart: boolean;
  readonly store: ListenAddress & { readonly partitions: number };
  /** Time between the request to stop and the forced end. */
  readonly graceMilliseconds: number;
  /** The limits of workspaces are judged over windows of this length. */
  readonly limitWindowMilliseconds: number;
  /** Share of a window by which the fleet may exceed a limit. */
  readonly limitOverage: number;
  /** Requests by which the fleet may exceed a window in any case. */
  readonly limitSlackRequests: number;
  /** How long an ended job stays readable. */
  readonly jobLifetimeMilliseconds: number;
}
