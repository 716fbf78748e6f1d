/**
 * Messages between a coordinator and its dependents. A dependent asks where to send a request,
 * reports its loads, and forwards the calls on batch jobs that it receives.
 */

import * as z from "zod/mini";
import type {
  InstanceId,
  Offset,
  PromptPartId,
  RouteId,
  UpstreamName,
  WorkspaceId,
} from "../common/ids.ts";
import {
  type WireCold,
  wireColdSchema,
  type WireLeaving,
  wireLeavingSchema,
  type WireLimit,
  wireLimitsSchema,
} from "../fleet/peers/statement-messages.ts";
import {
  type WireSpeed,
  wireSpeedsSchema,
} from "../fleet/speed/speed-messages.ts";
import type { JobCall } from "../gateway/caller-request.ts";
import type { WaitTolerance } from "../gateway/online-services.ts";
import type { Placement, RoomReply } from "../gateway/placement.ts";
import type { BegunReport } from "../quarantine/crash-evidence.ts";
import { begunReportSchema } from "../quarantine/messages.ts";
import { countSchema } from "../protocol/count-schema.ts";
import { definePeerMessage } from "../protocol/peer-message.ts";

/** What a decision depends on; sets are sent as lists. */
interface WireChoice {
  readonly service: UpstreamName;
  readonly excluded: readonly InstanceId[];
  /** Servers that recently failed requests of the dependent, or that the request has left. */
  readonly avoided: readonly InstanceId[];
  readonly objectiveMilliseconds: number;
  readonly waitTolerance: WaitTolerance;
  readonly zone: string;
  readonly allowedRegions?: readonly string[] | undefined;
}

/** A workspace with the limit that is in force at the dependent. */
interface WireWorkspace {
  readonly id: WorkspaceId;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Error code of an instance that does not decide for others, or not yet. */
export const undecidedCode = "not_a_coordinator";

export interface PlacementQuestion extends WireChoice {
  /** Number of the question; a later report says up to which number questions are settled. */
  readonly question: number;
  readonly limitedWorkspace: WireWorkspace | undefined;
  readonly requestId: string;
  readonly sharedPromptParts: readonly PromptPartId[];
  readonly ownPromptPart?: PromptPartId | undefined;
}

const choiceFields = {
  service: z.string(),
  excluded: z.array(z.string()),
  avoided: z.array(z.string()),
  objectiveMilliseconds: z.number(),
  waitTolerance: z.enum(["in_time", "late", "any"]),
  zone: z.string(),
  allowedRegions: z.optional(z.array(z.string())),
};

const questionSchema = z.object({
  ...choiceFields,
  question: z.int(),
  limitedWorkspace: z.nullish(z.object({
    id: z.string(),
    ratePerSecond: z.number(),
    burst: z.number(),
  })),
  requestId: z._default(z.string(), ""),
  sharedPromptParts: z._default(z.array(z.string()), []),
  ownPromptPart: z.optional(z.string()),
});

const sendBudgetSchema = z.object({
  limitPerSecond: z.number(),
  ageMilliseconds: z.number(),
  allowance: z.number(),
  level: z.number(),
  burst: z.number(),
  waitMilliseconds: z.number(),
});

const placementSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("none"),
    waitMilliseconds: z.optional(z.number()),
  }),
  z.object({ kind: z.literal("full"), expectedWaitMilliseconds: z.number() }),
  z.object({
    kind: z.literal("at_limits"),
    server: z.string(),
    budget: sendBudgetSchema,
  }),
  z.object({ kind: z.literal("held"), part: z.string() }),
  z.object({
    kind: z.literal("quarantined"),
    part: z.string(),
    crashes: z.number(),
    decidedAt: z.number(),
  }),
  z.object({
    kind: z.literal("limited"),
    retryAfterMilliseconds: z.number(),
    state: z.object({
      level: z.number(),
      allowance: z.number(),
      ratePerSecond: z.number(),
      ownDemandPerSecond: z.number(),
      fleetDemandPerSecond: z.number(),
      heard: z.number(),
      members: z.number(),
    }),
  }),
  z.object({
    kind: z.literal("send"),
    displacesBatch: z.boolean(),
    isTrial: z._default(z.boolean(), false),
    server: z.object({
      id: z.string(),
      slots: z.number(),
      online: z.number(),
      batch: z.number(),
      isSameZone: z.boolean(),
      isAvoided: z.boolean(),
      failureShare: z.number(),
      sendBudget: z.optional(sendBudgetSchema),
    }),
  }),
]);

export const placementMessage = definePeerMessage<PlacementQuestion, Placement>(
  "place",
  (body) => {
    const question = questionSchema.parse(body);
    return {
      ...question,
      limitedWorkspace: question.limitedWorkspace ?? undefined,
    } as unknown as PlacementQuestion;
  },
  (body) => placementSchema.parse(body) as unknown as Placement,
);

export interface RoomQuestion extends WireChoice {
  readonly server: InstanceId;
}

const roomQuestionSchema = z.object({ ...choiceFields, server: z.string() });
const roomReplySchema = z.object({
  hasRoomElsewhere: z.boolean(),
  isServerIdle: z.boolean(),
});

export const roomMessage = definePeerMessage<RoomQuestion, RoomReply>(
  "find-room",
  (body) => roomQuestionSchema.parse(body) as unknown as RoomQuestion,
  (body) => roomReplySchema.parse(body),
);

/** Asks the coordinator to have one batch run at the server stopped. */
export interface MakeRoomRequest {
  readonly server: InstanceId;
}

const makeRoomSchema = z.object({ server: z.string() });

export const makeRoomMessage = definePeerMessage<MakeRoomRequest>(
  "make-room",
  (body) => makeRoomSchema.parse(body) as unknown as MakeRoomRequest,
);

/** The state that a dependent keeps its coordinator informed of. */
export interface DependentReport {
  /** All questions up to this number are answered or given up. */
  readonly settledQuestion: number;
  /** Server and number of requests in flight at it. */
  readonly loads: readonly (readonly [InstanceId, number])[];
  /** Server and number of requests that failed there since the last report. */
  readonly failures: readonly (readonly [InstanceId, number])[];
  /** Answers that have begun since the last report. */
  readonly begun: BegunReport;
  /** Limits that servers have stated to the dependent since the last report. */
  readonly serverLimits: readonly WireLimit[];
  /** Servers that have stated that they leave. */
  readonly leavingServers: readonly WireLeaving[];
  /** Servers that have refused a connection of the dependent since the last report. */
  readonly coldServers: readonly WireCold[];
  /** Work times of servers, observed since the last report. */
  readonly speeds: readonly WireSpeed[];
  /** `statementChanges` of the receiver's last reply; -1 for none. */
  readonly knownStatementChanges: number;
  /** Server and number of granted requests that were not sent, since the last report. */
  readonly unsent: readonly (readonly [InstanceId, number])[];
  readonly configurationPosition: Offset;
  readonly serversPosition: Offset;
  readonly isStoreFailing: boolean;
}

export interface DependentReportReply {
  readonly isStoreFailing: boolean;
  /** Rises with each change of what servers state, as the coordinator knows it. */
  readonly statementChanges: number;
  /** The limits of servers and those that leave, if that has changed since the last report. */
  readonly serverLimits: readonly WireLimit[];
  readonly leavingServers: readonly WireLeaving[];
}

/** Lists that a report of a dependent leaves out while they are empty. */
export const optionalDependentReportLists = [
  "serverLimits",
  "leavingServers",
  "coldServers",
  "speeds",
  "unsent",
] as const;

const dependentReportSchema = z.object({
  settledQuestion: z.int(),
  loads: z.array(z.tuple([z.string(), countSchema])),
  failures: z.array(z.tuple([z.string(), countSchema])),
  begun: z._default(begunReportSchema, { parts: [], counts: [] }),
  serverLimits: wireLimitsSchema,
  leavingServers: wireLeavingSchema,
  coldServers: wireColdSchema,
  speeds: wireSpeedsSchema,
  knownStatementChanges: z._default(z.number(), -1),
  unsent: z._default(z.array(z.tuple([z.string(), countSchema])), []),
  configurationPosition: z.number(),
  serversPosition: z.number(),
  isStoreFailing: z.boolean(),
});
const dependentReportReplySchema = z.object({
  isStoreFailing: z.boolean(),
  statementChanges: z._default(z.number(), -1),
  serverLimits: wireLimitsSchema,
  leavingServers: wireLeavingSchema,
});

export const dependentReportMessage = definePeerMessage<
  DependentReport,
  DependentReportReply
>(
  "dependent-report",
  (body) => dependentReportSchema.parse(body) as unknown as DependentReport,
  (body) =>
    dependentReportReplySchema.parse(body) as unknown as DependentReportReply,
);

/** Checks that an instance is alive. */
export const pingMessage = definePeerMessage<null>("ping", () => null);

/** A call on a batch job that a dependent received, after it has checked route and API key. */
export interface ForwardedJobCall {
  /** Undefined for a submission, whose job is `requestId`. */
  readonly call: Exclude<JobCall, { kind: "malformed" }> | undefined;
  readonly requestId: string | undefined;
  readonly path: string;
  readonly host: string;
  /** Undefined on a call if no batch route of its host is in force. */
  readonly routeId: RouteId | undefined;
  readonly workspace: WorkspaceId | undefined;
  /** Time that the caller still waits. */
  readonly remainingMilliseconds: number | undefined;
  readonly body: Uint8Array;
}

export interface ForwardedJobReply {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly retryAfterMilliseconds: number | undefined;
}

const jobCallSchema = z.object({
  call: z.nullish(z.discriminatedUnion("kind", [
    z.object({
      kind: z.literal("results"),
      job: z.string(),
      after: z.int().check(z.nonnegative()),
      waitMilliseconds: z.number(),
    }),
    z.object({ kind: z.literal("body"), job: z.string(), item: z.string() }),
    z.object({ kind: z.literal("end"), job: z.string() }),
  ])),
  requestId: z.nullish(z.string()),
  path: z.string(),
  host: z.string(),
  routeId: z.nullish(z.string()),
  workspace: z.nullish(z.string()),
  remainingMilliseconds: z.nullish(z.number()),
  body: z.instanceof(Uint8Array),
});
const jobReplySchema = z.object({
  status: z.int(),
  contentType: z.string(),
  body: z.instanceof(Uint8Array),
  retryAfterMilliseconds: z.nullish(z.number()),
});

export const jobCallMessage = definePeerMessage<
  ForwardedJobCall,
  ForwardedJobReply
>(
  "job-call",
  (body) => {
    const call = jobCallSchema.parse(body);
    return {
      ...call,
      call: call.call ?? undefined,
      requestId: call.requestId ?? undefined,
      routeId: call.routeId ?? undefined,
      workspace: call.workspace ?? undefined,
      remainingMilliseconds: call.remainingMilliseconds ?? undefined,
    } as unknown as ForwardedJobCall;
  },
  (body) => {
    const reply = jobReplySchema.parse(body);
    return {
      ...reply,
      retryAfterMilliseconds: reply.retryAfterMilliseconds ?? undefined,
    };
  },
);
