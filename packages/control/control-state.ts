/**
 * The state that every instance computes from the control stream: the configuration in force
 * and the members. Other packages read it through `ControlView`.
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
  /** Address for frames from peers. */
  readonly host: string;
  readonly port: number;
  /** Base address of the endpoints for operators, such as http://127.0.0.1:9100. */
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
  /** Owner of each key, by the SHA-256 of the key. */
  readonly keys: ReadonlyMap<string, KeyOwner>;
  readonly upstreams: ReadonlyMap<UpstreamName, Upstream>;
  /** Engines that serve each model. */
  readonly engines: ReadonlyMap<ModelName, readonly Upstream[]>;
  /** Sorted so that the longest prefix comes first. */
  readonly routes: readonly Route[];
  /** All cancelled jobs. Whether a job is cancelled is decided by `isJobCancelled`. */
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

/** What other packages see of the control state. */
export interface ControlView {
  /** The current state. Replaced, never changed in place, when a record is applied. */
  readonly state: ControlState;
  /** Whether the instance may accept new requests now; see the design page, section 3.2. */
  isFresh(): boolean;
  /** Calls the listener after each change of configuration or members. */
  onChange(listener: ControlListener): () => void;
  /**
   * Resolves once a majority of the peer group has applied the offset and the freshness window
   * has passed since then, so that no fresh instance acts on an older state.
   */
  whenInForce(offset: Offset): Promise<void>;
}

export type ControlListener = (
  state: ControlState,
  previous: ControlState,
) => void;

/** Members that may own partitions, coordinators and limiter shares. */
export type OwnerLookup = (
  state: ControlState,
  item: string,
) => InstanceId | undefined;
export type PartitionOwnerLookup = (
  state: ControlState,
  partition: PartitionNumber,
) => InstanceId | undefined;
