/**
 * Manages the owners of the partitions that the control state assigns to this instance. When a
 * partition is assigned to another instance, its owner here is drained, which starts no more items
 * and waits for the running ones, and then releases its epoch.
 */

import type {
  Incarnation,
  InstanceId,
  Offset,
  PartitionNumber,
} from "../../common/ids.ts";
import { hashNumber } from "../../common/hashing.ts";
import type {
  ControlView,
  PartitionOwnerLookup,
} from "../../control/control-state.ts";
import { PartitionOwner, type PartitionOwnerOptions } from "./owner.ts";

export interface PartitionSetOptions extends
  Omit<
    PartitionOwnerOptions,
    "partition" | "control" | "instance" | "incarnation"
  > {
  instance: InstanceId;
  incarnation: () => Incarnation;
  control: ControlView;
  partitionOwner: PartitionOwnerLookup;
  /** Called to end the work of an owner; its epoch is released afterwards. */
  drain: (owner: PartitionOwner) => Promise<void>;
}

/** Maps the key of a workspace or of a range of a job to the partition that stores it. */
export function partitionOf(
  key: string,
  partitionCount: number,
): PartitionNumber {
  return hashNumber(key) % partitionCount as PartitionNumber;
}

export class PartitionSet {
  readonly #options: PartitionSetOptions;
  readonly #owners = new Map<PartitionNumber, PartitionOwner>();
  readonly #releasing = new Map<PartitionOwner, Promise<void>>();
  #assigned = new Set<PartitionNumber>();
  #assignedMembershipOffset: Offset | undefined;
  #assignedPartitionCount = 0;
  #isClosed = false;

  constructor(options: PartitionSetOptions) {
    this.#options = options;
  }

  /**
   * The owner of a partition, if its epoch is open here. This includes an owner that is being
   * released: it still answers requests about jobs, because the calls that it waits for may take
   * long.
   */
  activeOwner(partition: PartitionNumber): PartitionOwner | undefined {
    return this.activeOwners().find((owner) => owner.partition === partition);
  }

  activeOwners(): PartitionOwner[] {
    return [...this.#owners.values(), ...this.#releasing.keys()].filter((
      owner,
    ) => owner.isActive);
  }

  /**
   * The instance whose epoch of the partition is open. Undefined if there is none, or if this
   * instance does not follow the partition.
   */
  openEpochOwner(partition: PartitionNumber): InstanceId | undefined {
    const epoch = this.#owners.get(partition)?.state.epoch;
    return epoch && !epoch.isReleased ? epoch.owner : undefined;
  }

  maintain(): void {
    this.#updateAssignment();
    for (const [partition, owner] of this.#owners) {
      if (owner.isStopped) this.#owners.delete(partition);
      else owner.maintain();
    }
    // An owner whose epoch was replaced has been removed above, but its partition may still be
    // assigned to this instance.
    this.#startAssignedOwners();
  }

  /** Releases all partitions and takes no new ones. Resolves when all have been released. */
  async release(): Promise<void> {
    this.#isClosed = true;
    for (const owner of this.#owners.values()) this.#releaseOwner(owner);
    await Promise.all(this.#releasing.values());
  }

  stop(): void {
    this.#isClosed = true;
    for (const owner of this.#owners.values()) owner.stop();
    for (const owner of this.#releasing.keys()) owner.stop();
    this.#owners.clear();
  }

  /** Whether the fleet has this incarnation of the instance as a member. */
  #isMember(): boolean {
    const { instance, incarnation, control } = this.#options;
    return control.state.members.get(instance)?.incarnation === incarnation();
  }

  #updateAssignment(): void {
    const { control, partitionOwner, instance } = this.#options;
    const { state } = control;
    const partitions = state.configuration.platform?.partitions ?? 0;
    const isUnchanged =
      this.#assignedMembershipOffset === state.membershipOffset &&
      this.#assignedPartitionCount === partitions;
    if (isUnchanged || this.#isClosed) return;
    this.#assignedMembershipOffset = state.membershipOffset;
    this.#assignedPartitionCount = partitions;
    const isMember = this.#isMember();
    this.#assigned = new Set();
    for (let number = 0; number < partitions && isMember; number++) {
      const partition = number as PartitionNumber;
      if (partitionOwner(state, partition) === instance) {
        this.#assigned.add(partition);
      }
    }
    for (const [partition, owner] of this.#owners) {
      if (!isMember) owner.stop();
      else if (!this.#assigned.has(partition)) this.#releaseOwner(owner);
    }
  }

  #startAssignedOwners(): void {
    if (this.#isClosed) return;
    const releasing = new Set(
      [...this.#releasing.keys()].map((owner) => owner.partition),
    );
    for (const partition of this.#assigned) {
      if (this.#owners.has(partition) || releasing.has(partition)) continue;
      const owner = new PartitionOwner({ ...this.#options, partition });
      this.#owners.set(partition, owner);
      owner.start();
    }
  }

  #releaseOwner(owner: PartitionOwner): void {
    this.#owners.delete(owner.partition);
    const released = this.#options.drain(owner)
      .then(() => owner.release())
      .finally(() => this.#releasing.delete(owner));
    this.#releasing.set(owner, released);
  }
}
