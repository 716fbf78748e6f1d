/**
 * Branded types of identifiers. A brand prevents an id of one kind from being passed where
 * another kind is expected; at run time each id is a plain string or number.
 */

declare const brand: unique symbol;
type Branded<Base, Name extends string> = Base & { readonly [brand]: Name };

export type InstanceId = Branded<string, "InstanceId">;
/** Identifies one run of an instance, which joins with a new one after a restart or eviction. */
export type Incarnation = Branded<string, "Incarnation">;
export type ZoneId = Branded<string, "ZoneId">;
export type WorkspaceId = Branded<string, "WorkspaceId">;
/** A client of the budget of held bytes, such as a workspace or the batch jobs of an instance. */
export type ClientId = Branded<string, "ClientId">;
export type KeyId = Branded<string, "KeyId">;
export type UpstreamName = Branded<string, "UpstreamName">;
export type ModelName = Branded<string, "ModelName">;
export type RouteId = Branded<string, "RouteId">;
export type SectionName = Branded<string, "SectionName">;
export type TeamName = Branded<string, "TeamName">;
export type JobId = Branded<string, "JobId">;
export type FileId = Branded<string, "FileId">;
export type RequestId = Branded<string, "RequestId">;
/** Identifies one part of a prompt; parts with the same id have the same content. */
export type PromptPartId = Branded<string, "PromptPartId">;
export type StreamName = Branded<string, "StreamName">;
/** Position of a record in a stream of the log. */
export type Offset = Branded<number, "Offset">;
export type PartitionNumber = Branded<number, "PartitionNumber">;
/** Identifies a writer to the log; its records carry an increasing sequence number. */
export type WriterId = Branded<string, "WriterId">;

/** Brands a plain value without checking it. Used where a value enters the system. */
export function brandAs<Id>(value: Id extends string ? string : number): Id {
  return value as unknown as Id;
}
