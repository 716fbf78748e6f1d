/** What an online request needs of the rest of the instance. */

import type { InstanceId, UpstreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { RouteRule } from "../fleet/configuration.ts";
import type { UpstreamServer } from "../fleet/upstreams.ts";
import type { ConnectionPool } from "../transport/connection-pool.ts";
import type { CallerCodec, ReceivedRequest } from "./caller-request.ts";
import type { SendChoice, ServerChoice } from "./choose-server.ts";

/**
 * How long a request may wait at a server: so that it is served in time, somewhat longer since
 * its caller would otherwise be refused again, or in any case since it has run before.
 */
export type WaitTolerance = "in_time" | "late" | "any";

export interface ChoiceRequest {
  readonly service: UpstreamName;
  readonly excluded: ReadonlySet<InstanceId>;
  readonly objectiveMilliseconds: number;
  readonly waitTolerance: WaitTolerance;
}

export interface OnlineOutcome {
  readonly received: ReceivedRequest;
  readonly route: RouteRule;
  /** Empty on routes that are open to all. */
  readonly workspace: string;
  /** `served`, `caller_left`, `broken_off` or the code of the own answer. */
  readonly outcome: string;
  readonly server: InstanceId | undefined;
  /** The last choice, with what was known of the server. */
  readonly choice: SendChoice | undefined;
  /** Times that batch runs were asked to make room after the request was sent. */
  readonly displacementRequests: number;
  /** Monotonic milliseconds. */
  readonly firstBytesAt: number | undefined;
  readonly runs: number;
  readonly refusals: number;
}

export interface OnlineServices {
  readonly codec: CallerCodec;
  readonly logger: Logger;
  now(): number;
  /** A number from 0 to 1. */
  random(): number;
  pickService(route: RouteRule): UpstreamName;
  choose(request: ChoiceRequest): ServerChoice;
  /** The server has a free slot, as far as is known. */
  hasFreeSlot(server: InstanceId): boolean;
  findServer(id: InstanceId): UpstreamServer | undefined;
  poolOf(server: UpstreamServer): ConnectionPool;
  /** Asks the holders of batch runs at the server to stop one of them. */
  displaceBatch(server: InstanceId): void;
  noteAttemptStart(server: InstanceId): void;
  noteAttemptEnd(server: InstanceId): void;
  noteReportedLoad(server: InstanceId, load: number): void;
  noteServerFault(server: InstanceId): void;
  noteServed(server: InstanceId, durationMilliseconds: number): void;
  noteFirstBytes(received: ReceivedRequest, workspace: string): void;
  noteOutcome(outcome: OnlineOutcome): void;
}
