/**
 * Messages between peers. An instance reports several times a second the load that it puts on
 * servers, which of them fail, its usage of the limits, the positions of its documents and which
 * job partitions it owns. Two further messages carry document records and requests to displace a
 * batch run.
 */

import * as z from "zod/mini";
import type {
  InstanceId,
  Offset,
  PartitionNumber,
  WorkspaceId,
} from "../../common/ids.ts";
import type { BegunReport } from "../../quarantine/crash-evidence.ts";
import { begunReportSchema } from "../../quarantine/messages.ts";
import { countSchema } from "../../protocol/count-schema.ts";
import { definePeerMessage } from "../../protocol/peer-message.ts";
import type { KeyedRecord } from "../../store/keyed-store.ts";
import type { DocumentKind } from "../documents.ts";
import { type WireSpeed, wireSpeedsSchema } from "../speed/speed-messages.ts";
import {
  type WireCold,
  wireColdSchema,
  type WireLeaving,
  wireLeavingSchema,
  type WireLimit,
  wireLimitsSchema,
  type WireServerUsage,
  wireServerUsagesSchema,
} from "./statement-messages.ts";

export interface PeerReport {
  /** Rises with each report of the sender. */
  readonly sequence: number;
  /** Acknowledges the receiver's newest report by its sequence; 0 for none. */
  readonly heard: number;
  readonly configurationPosition: Offset;
  readonly serversPosition: Offset;
  readonly isStoreFailing: boolean;
  /** Server, online requests and batch runs that the sender has in flight at it. */
  readonly loads: readonly (readonly [InstanceId, number, number])[];
  /** Servers that recently failed many requests of the sender, with the share that failed. */
  readonly faults: readonly (readonly [InstanceId, number])[];
  /**
   * Workspace, number of admitted requests, demand in requests per second, level of the bucket in
   * requests.
   */
  readonly uses: readonly (readonly [WorkspaceId, number, number, number])[];
  /** Limits that servers state. */
  readonly serverLimits: readonly WireLimit[];
  /** Servers that have stated that they leave. */
  readonly leavingServers: readonly WireLeaving[];
  /** Servers that are cold, unless the sender has it from another coordinator. */
  readonly coldServers: readonly WireCold[];
  /** Usage of those limits by the sender and its dependents. */
  readonly serverUses: readonly WireServerUsage[];
  /** Work times of servers that deviate or did so, observed since the last report. */
  readonly speeds: readonly WireSpeed[];
  readonly ownedPartitions: readonly PartitionNumber[];
  /** Generation of the group of owners that assigned the partitions. */
  readonly ownerGeneration: number;
  /** Number of items of batch jobs that wait for a server. */
  readonly waitingItems: number;
  /** The parts of the stored volume that the sender knows; earlier versions report none. */
  readonly storedBytes?: number | undefined;
  readonly writtenBytes?: number | undefined;
  /** Answers to requests of the sender and its dependents that have begun since the last report. */
  readonly begun: BegunReport;
}

const reportSchema = z.object({
  sequence: z.number(),
  heard: z.number(),
  configurationPosition: z.number(),
  serversPosition: z.number(),
  isStoreFailing: z.boolean(),
  loads: z.array(z.tuple([z.string(), countSchema, countSchema])),
  faults: z._default(z.array(z.tuple([z.string(), z.number()])), []),
  uses: z.array(
    z.tuple([z.string(), z.number(), z.number(), z.number()]),
  ),
  serverLimits: wireLimitsSchema,
  leavingServers: wireLeavingSchema,
  coldServers: wireColdSchema,
  serverUses: wireServerUsagesSchema,
  speeds: wireSpeedsSchema,
  ownedPartitions: z.array(z.number()),
  ownerGeneration: z.number(),
  waitingItems: z.number(),
  storedBytes: z.optional(z.number()),
  writtenBytes: z.optional(z.number()),
  begun: z._default(begunReportSchema, { parts: [], counts: [] }),
});

/** Lists that a report leaves out while they are empty, which they are nearly always. */
export const optionalReportLists = [
  "faults",
  "serverLimits",
  "leavingServers",
  "coldServers",
  "serverUses",
  "speeds",
] as const;

export const reportMessage = definePeerMessage<PeerReport>(
  "report",
  (body) => reportSchema.parse(body) as unknown as PeerReport,
);

/** Records of a document that the receiver lacks, up to the position. */
export interface DocumentRecords {
  readonly kind: DocumentKind;
  readonly position: Offset;
  readonly records: readonly KeyedRecord[];
}

const recordsSchema = z.object({
  kind: z.enum(["configuration", "servers"]),
  position: z.number(),
  records: z.array(z.object({
    key: z.string(),
    value: z.nullish(z.instanceof(Uint8Array)),
    offset: z.number(),
  })),
});

export const documentMessage = definePeerMessage<DocumentRecords>(
  "document",
  (body) => {
    const { kind, position, records } = recordsSchema.parse(body);
    return {
      kind,
      position: position as Offset,
      records: records.map(({ key, value, offset }) => ({
        key,
        value: value ?? undefined,
        offset: offset as Offset,
      })),
    };
  },
);

/** Asks the receiver to stop one batch run at a server that online requests need. */
export interface DisplaceRequest {
  readonly server: InstanceId;
}

const displaceSchema = z.object({ server: z.string() });

export interface DisplaceReply {
  /** False if the receiver no longer has a batch run at the server. */
  readonly isDisplaced: boolean;
}

const displaceReplySchema = z.object({ isDisplaced: z.boolean() });

export const displaceMessage = definePeerMessage<
  DisplaceRequest,
  DisplaceReply
>(
  "displace",
  (body) => displaceSchema.parse(body) as unknown as DisplaceRequest,
  (body) => displaceReplySchema.parse(body),
);
