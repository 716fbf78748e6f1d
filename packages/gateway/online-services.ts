/** The operations of the instance that an online request depends on. */

import type { InstanceId, UpstreamName, WorkspaceId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { RouteRule } from "../fleet/configuration.ts";
import type {
  ServerStatement,
  StatementEvidence,
} from "../fleet/server-statement.ts";
import type { SendPurpose } from "../fleet/send-rules.ts";
import type { AnswerTime } from "../fleet/speed/server-speeds.ts";
import type { UpstreamServer } from "../fleet/upstreams.ts";
import type { Holding } from "../overload/held-bytes.ts";
import type { RequestDispatcher } from "../transport/renewable-pool.ts";
import type { CrashSuspect } from "../quarantine/crash-evidence.ts";
import type { Quarantine } from "../quarantine/quarantine.ts";
import type { CallerCodec, ReceivedRequest } from "./caller-request.ts";
import type { SendChoice } from "./choose-server.ts";
import type { Placer } from "./placement.ts";
import type { SendQueue } from "./send-queue.ts";

/**
 * How long a request may wait at a server. `in_time`: so short that it meets the latency
 * objective. `late`: somewhat longer, since a retrying caller would otherwise be refused again.
 * `any`: without limit, since the request may have run already.
 */
export type WaitTolerance = "in_time" | "late" | "any";

export interface ChoiceRequest {
  readonly service: UpstreamName;
  /** Servers not to be chosen, such as those at which an attempt has failed. */
  readonly excluded: ReadonlySet<InstanceId>;
  /** Servers that the request has left; it returns to them only if no other takes it. */
  readonly leftServers?: ReadonlySet<InstanceId>;
  /** Latency objective of the route. */
  readonly objectiveMilliseconds: number;
  readonly waitTolerance: WaitTolerance;
  /** Regions in which the request may be handled; undefined for all. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** The end of an online request, for metrics and logs. */
export interface OnlineOutcome {
  readonly received: ReceivedRequest;
  readonly route: RouteRule;
  /** Id of the workspace; empty if the request came without a known key. */
  readonly workspace: string;
  /** `served`, `server_error`, `caller_left`, `broken_off` or the code of the error answer. */
  readonly outcome: string;
  readonly server: InstanceId | undefined;
  /** The last choice of a server, with what was known of the server. */
  readonly choice: SendChoice | undefined;
  /** How often displacement of batch runs was requested after the request was sent. */
  readonly displacementRequests: number;
  /** Monotonic milliseconds. */
  readonly firstBytesAt: number | undefined;
  /** Number of servers on which the request failed and may have run. */
  readonly runs: number;
  /** Number of attempts that failed and have not run. */
  readonly refusals: number;
}

export interface OnlineServices {
  /** Opens a holding for the answer of a server. */
  openAnswerHolding(workspace: WorkspaceId | undefined): Holding;
  readonly codec: CallerCodec;
  readonly logger: Logger;
  /** Monotonic milliseconds. */
  now(): number;
  /** A number from 0 (inclusive) to 1 (exclusive). */
  random(): number;
  readonly placer: Placer;
  readonly sendQueue: SendQueue;
  chooseService(route: RouteRule, purpose: SendPurpose): UpstreamName;
  findServer(id: InstanceId): UpstreamServer | undefined;
  /** Why nothing at all may be sent to the server; undefined if something may. */
  standingRefusal(
    server: UpstreamServer,
    purpose: SendPurpose,
  ): string | undefined;
  poolOf(server: UpstreamServer): RequestDispatcher;
  /** Records what a server states about itself in the head of an answer. */
  recordStatement(
    server: UpstreamServer,
    statement: ServerStatement,
    evidence: StatementEvidence,
  ): void;
  recordRefusedConnection(server: UpstreamServer): void;
  /** Counts a failure against the health of the server. */
  recordFailure(server: InstanceId): void;
  /** Records a success and how long the server took for it. */
  recordSuccess(server: InstanceId, durationMilliseconds: number): void;
  /** Records how long the server took for a part of an answer. */
  /** Undefined if the speed of servers is not learned, so that answers need not be measured. */
  readonly recordAnswerTime:
    | ((time: AnswerTime, now: number) => void)
    | undefined;
  /**
   * Finds out whether a server to which a connection broke has crashed, and reports the crash.
   * `suspect` is the request that was lost, unless its answer had begun.
   */
  examineServer(
    server: UpstreamServer,
    suspect: CrashSuspect | undefined,
  ): Promise<boolean>;
  readonly quarantine: Pick<Quarantine, "recordBegin">;
  /** Counts a request that servers at their limits made wait or that was refused for them. */
  countHeldSend(outcome: "waited" | "refused"): void;
  recordFirstBytes(received: ReceivedRequest, workspace: string): void;
  recordOutcome(outcome: OnlineOutcome): void;
}
