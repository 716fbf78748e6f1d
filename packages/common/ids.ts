/**
 * Branded identifiers. A brand keeps an id of one kind from being passed where another kind is
 * expected; at run time each id is a plain string or number.
 */

declare const brand: unique symbol;
type Branded<Base, Name extends string> = Base & { readonly [brand]: Name };

export type InstanceId = Branded<string, "InstanceId">;
/** One run of an instance. A restarted or evicted instance joins again with a new one. */
export type Incarnation = Branded<string, "Incarnation">;
export type ZoneId = Branded<string, "ZoneId">;
export type WorkspaceId = Branded<string, "WorkspaceId">;
export type KeyId = Branded<string, "KeyId">;
export type UpstreamName = Branded<string, "UpstreamName">;
export type ModelName = Branded<string, "ModelName">;
export type RouteId = Branded<string, "RouteId">;
export type SectionName = Branded<string, "SectionName">;
export type TeamName = Branded<string, "TeamName">;
export type JobId = Branded<string, "JobId">;
export type FileId = Branded<string, "FileId">;
export type RequestId = Branded<string, "RequestId">;
export type StreamName = Branded<string, "StreamName">;
/** Position of a record in a stream of the log. */
export type Offset = Branded<number, "Offset">;
export type PartitionNumber = Branded<number, "PartitionNumber">;
/** Identifies a writer to the log; its records carry a growing sequence number. */
export type WriterId = Branded<string, "WriterId">;

/** Gives a plain value its brand. Used where a value enters the system. */
export function brandAs<Id>(value: Id extends string ? string : number): Id {
  return value as unknown as Id;
}
