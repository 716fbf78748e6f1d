/**
 * Types of the control state that every instance computes from the control stream: the
 * configuration and the members. Other packages read it through `ControlView`.
 */

import type {
  Incarnation,
  InstanceId,
  JobId,
  KeyId,
  ModelName,
  Offset,
  PartitionNumber,
  SectionName,
  UpstreamName,
  WorkspaceId,
  ZoneId,
} from "../common/ids.ts";
import type {
  PlatformSection,
  Route,
  Upstream,
  Workspace,
} from "./document.ts";

export interface Member {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  /** Host and port for connections from peers. */
  readonly host: string;
  readonly port: number;
  /** Base URL of the endpoints for operators, such as http://127.0.0.1:9100. */
  readonly metricsUrl: string;
  readonly state: "active" | "leaving";
  /** Offset of the record with which the member joined. */
  readonly joinedAt: Offset;
}

/** The configuration, indexed for look-ups. */
export interface Configuration {
  readonly platform: PlatformSection | undefined;
  readonly sectionVersions: ReadonlyMap<SectionName, number>;
  readonly workspaces: ReadonlyMap<WorkspaceId, Workspace>;
  /** Section that defines each workspace. */
  readonly workspaceSections: ReadonlyMap<WorkspaceId, SectionName>;
  /** Workspace and id of each key, by the SHA-256 of the key in hexadecimal digits. */
  readonly keys: ReadonlyMap<string, KeyOwner>;
  readonly upstreams: ReadonlyMap<UpstreamName, Upstream>;
  /** Engines that serve each model. */
  readonly engines: ReadonlyMap<ModelName, readonly Upstream[]>;
  /** Sorted by descending length of the path prefix. */
  readonly routes: readonly Route[];
  /** Cancelled jobs of all sections. Use `isJobCancelled` to check a job. */
  readonly cancelledJobs: ReadonlySet<JobId>;
  readonly cancelledJobsBySection: ReadonlyMap<SectionName, ReadonlySet<JobId>>;
}

export interface KeyOwner {
  readonly workspace: WorkspaceId;
  readonly key: KeyId;
}

export interface ControlState {
  /** Offset of the last record that was applied; -1 before the first. */
  readonly appliedOffset: Offset;
  readonly configuration: Configuration;
  readonly members: ReadonlyMap<InstanceId, Member>;
  /** Offset of the last record that changed the members. */
  readonly membershipOffset: Offset;
}

/** Read access of other packages to the control state. */
export interface ControlView {
  /** The current state. It is immutable: applying a record replaces it. */
  readonly state: ControlState;
  /** Whether the instance may accept new requests now; see the design page, section 3.2. */
  isFresh(): boolean;
  /**
   * Calls the listener after each change of the configuration or the members, and returns a
   * function that removes it.
   */
  onChange(listener: ControlListener): () => void;
  /**
   * Resolves once the record at the offset is in force: no instance that considers itself fresh
   * still acts on an older state. This holds when a majority of the voters has applied it and the
   * freshness window has passed since then, or when all who could act on an older state have
   * applied it.
   */
  whenInForce(offset: Offset): Promise<void>;
}

export type ControlListener = (
  state: ControlState,
  previous: ControlState,
) => void;

/** Returns the active member that owns the item; undefined if there is no active member. */
export type OwnerLookup = (
  state: ControlState,
  item: string,
) => InstanceId | undefined;
export type PartitionOwnerLookup = (
  state: ControlState,
  partition: PartitionNumber,
) => InstanceId | undefined;
