/**
 * What an instance tells its peers several times a second: the load it puts on servers, which
 * of them fail, its use of the limits, how far its documents go, and which partitions of the jobs it owns.
 */

import * as z from "zod/mini";
import type {
  InstanceId,
  Offset,
  PartitionNumber,
  WorkspaceId,
} from "../../common/ids.ts";
import { definePeerMessage } from "../../protocol/peer-message.ts";
import type { KeyedRecord } from "../../store/keyed-store.ts";
import type { DocumentKind } from "../documents.ts";

export interface PeerReport {
  readonly sequence: number;
  /** The last sequence of the receiver that the sender has heard; 0 for none. */
  readonly heard: number;
  readonly configurationPosition: Offset;
  readonly serversPosition: Offset;
  readonly isStoreFailing: boolean;
  /** Server, online requests, batch runs. */
  readonly loads: readonly (readonly [InstanceId, number, number])[];
  /** Servers that failed many requests of this instance lately, with the share. */
  readonly faults: readonly (readonly [InstanceId, number])[];
  /** Workspace, admitted requests, demand per second. */
  readonly uses: readonly (readonly [WorkspaceId, number, number])[];
  readonly ownedPartitions: readonly PartitionNumber[];
  readonly ownerGeneration: number;
  /** Items of batch jobs that wait for a server. */
  readonly waitingItems: number;
}

const reportSchema = z.object({
  sequence: z.number(),
  heard: z.number(),
  configurationPosition: z.number(),
  serversPosition: z.number(),
  isStoreFailing: z.boolean(),
  loads: z.array(z.tuple([z.string(), z.number(), z.number()])),
  faults: z._default(z.array(z.tuple([z.string(), z.number()])), []),
  uses: z.array(z.tuple([z.string(), z.number(), z.number()])),
  ownedPartitions: z.array(z.number()),
  ownerGeneration: z.number(),
  waitingItems: z.number(),
});

export const reportMessage = definePeerMessage<PeerReport>(
  "report",
  (body) => reportSchema.parse(body) as unknown as PeerReport,
);

/** Records of a document that the receiver lacks. */
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
  /** False if the receiver has no run at the server any more. */
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
