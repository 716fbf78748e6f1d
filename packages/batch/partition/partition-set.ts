/**
 * The partitions that the control state assigns to this instance. A partition that is assigned
 * elsewhere is released: its owner stops starting items and lets the running ones end first.
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
  /** Ends the work of an owner before its epoch is released. */
  drain: (owner: PartitionOwner) => Promise<void>;
}

/** The partition that an item is kept in, such as a workspace or one range of a job. */
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
   * The owner of a partition if its epoch is open here. An owner that is being released goes on
   * answering about jobs, because calls that it waits for may take long.
   */
  activeOwner(partition: PartitionNumber): PartitionOwner | undefined {
    return this.activeOwners().find((owner) => owner.partition === partition);
  }

  activeOwners(): PartitionOwner[] {
    return [...this.#owners.values(), ...this.#releasing.keys()].filter((
      owner,
    ) => owner.isActive);
  }

  /** The instance whose epoch is still open, as far as this instance follows the partition. */
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
    // An owner whose epoch was replaced is gone while the partition may still be assigned here.
    this.#startAssignedOwners();
  }

  /** Releases all partitions and takes no new ones. */
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
