/**
 * Tracks which job partitions this instance owns, as the store assigns them to the members of
 * the owner group. Before a revoked partition is given up, the progress of its items is written;
 * only the next join tells the store that another instance may take the partition over.
 *
 * An assignment begins a lease. No item is started under a lease before the local copy of the
 * partition contains everything that was written before the lease began, since an earlier owner
 * may have run items, or callers may have ended jobs, that an older copy does not show.
 */

import type { Clock } from "../common/clock.ts";
import type { InstanceId, PartitionNumber, StreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import {
  ownerJoinIntervalMilliseconds,
  ownerLeaseMilliseconds,
} from "../fleet/constants.ts";
import type { KeyedStore } from "../store/keyed-store.ts";

export interface PartitionLease {
  /** Generation of the group in which the partition was assigned; the fencing token. */
  readonly generation: number;
  /** When the assignment arrived; monotonic milliseconds. */
  readonly acquiredAt: number;
}

export interface PartitionOwnershipOptions {
  readonly store: KeyedStore;
  readonly instance: InstanceId;
  readonly group: string;
  readonly stream: StreamName;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Stops the work on the partitions and resolves when that is done. */
  readonly onPartitionsRevoked: (
    partitions: readonly PartitionNumber[],
  ) => Promise<void>;
  readonly onPartitionsAssigned: (
    partitions: readonly PartitionNumber[],
  ) => void;
  /** Called at the start of each lease, that is also for a partition whose lease had expired. */
  readonly onLeaseAcquired: (
    partition: PartitionNumber,
    lease: PartitionLease,
  ) => void;
  /** The local copy contains everything written before this time; monotonic milliseconds. */
  readonly copyCompleteUntil: (partition: PartitionNumber) => number;
  /** Whether a peer reports that it owns the partition in a later generation. */
  readonly isClaimedByPeer: (
    partition: PartitionNumber,
    generation: number,
  ) => boolean;
  /** Whether reports of other instances arrive, or there are no other instances. */
  readonly hasPeerContact: () => boolean;
}

export class PartitionOwnership {
  readonly #options: PartitionOwnershipOptions;
  #leases = new Map<PartitionNumber, PartitionLease>();
  #generation = 0;
  #leaseUntil = Number.NEGATIVE_INFINITY;
  #isStopped = false;
  #isFailing = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PartitionOwnershipOptions) {
    this.#options = options;
  }

  get generation(): number {
    return this.#generation;
  }

  ownedPartitions(): PartitionNumber[] {
    return [...this.#leases.keys()];
  }

  isOwned(partition: PartitionNumber): boolean {
    return this.#leases.has(partition);
  }

  /** The lease on an owned partition, which another one replaces when it has expired. */
  leaseOf(partition: PartitionNumber): PartitionLease | undefined {
    return this.#leases.get(partition);
  }

  /**
   * Whether new runs of items may be started. After the lease has expired, as in an outage of the
   * store, this stays true while the instance hears its peers and none of them claims the
   * partition. It is false until the copy of the partition is complete up to the start of the lease.
   */
  canStartItems(partition: PartitionNumber): boolean {
    const lease = this.#leases.get(partition);
    if (!lease || this.#isStopped) return false;
    const { clock, isClaimedByPeer, hasPeerContact, copyCompleteUntil } =
      this.#options;
    if (copyCompleteUntil(partition) < lease.acquiredAt) return false;
    if (clock.monotonicNow() < this.#leaseUntil) return true;
    return hasPeerContact() && !isClaimedByPeer(partition, this.#generation);
  }

  start(): void {
    void this.#join();
  }

  /** Gives up all partitions at once and leaves the owner group. */
  async leave(): Promise<void> {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    const { store, group, instance, logger, onPartitionsRevoked } =
      this.#options;
    await onPartitionsRevoked(this.ownedPartitions());
    this.#leases = new Map();
    try {
      await store.leave(group, instance);
    } catch (error) {
      logger.warn("leaving the owner group failed; the lease will expire", {
        reason: String(error),
      });
    }
  }

  async #join(): Promise<void> {
    const { store, group, stream, instance, clock } = this.#options;
    let pause = ownerJoinIntervalMilliseconds;
    const sentAt = clock.monotonicNow();
    try {
      const assignment = await store.join({
        group,
        member: instance,
        stream,
        leaseMilliseconds: ownerLeaseMilliseconds,
        generation: this.#generation,
      });
      const acquiredAt = clock.monotonicNow();
      const hasExpired = acquiredAt >= this.#leaseUntil;
      this.#leaseUntil = sentAt + ownerLeaseMilliseconds;
      this.#updateJoinStatus(undefined);
      const isNewGeneration = assignment.generation !== this.#generation;
      await this.#applyAssignment(assignment.partitions, {
        lease: { generation: assignment.generation, acquiredAt },
        hasExpired,
      });
      this.#generation = assignment.generation;
      // Joining again at once tells the store that revoked partitions have been given up.
      if (isNewGeneration) pause = 0;
    } catch (error) {
      this.#updateJoinStatus(error);
      pause = ownerJoinIntervalMilliseconds / 2;
    }
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => void this.#join(), pause);
  }

  /** `hasExpired`: the leases may have expired before, so that the partitions had other owners. */
  async #applyAssignment(
    partitions: readonly PartitionNumber[],
    { lease, hasExpired }: {
      readonly lease: PartitionLease;
      readonly hasExpired: boolean;
    },
  ): Promise<void> {
    const {
      logger,
      onPartitionsRevoked,
      onPartitionsAssigned,
      onLeaseAcquired,
    } = this.#options;
    if (this.#isStopped) return;
    const previous = this.#leases;
    this.#leases = new Map(
      partitions.map((partition) => [
        partition,
        hasExpired ? lease : previous.get(partition) ?? lease,
      ]),
    );
    for (const [partition, held] of this.#leases) {
      if (held === lease) onLeaseAcquired(partition, lease);
    }
    const revoked = [...previous.keys()].filter((partition) =>
      !this.#leases.has(partition)
    );
    const assigned = partitions.filter((partition) => !previous.has(partition));
    if (revoked.length + assigned.length === 0) return;
    logger.info("the owned partitions have changed", {
      owned: partitions.join(","),
      won: assigned.join(","),
      lost: revoked.join(","),
      generation: lease.generation,
    });
    if (revoked.length > 0) await onPartitionsRevoked(revoked);
    if (assigned.length > 0) onPartitionsAssigned(assigned);
  }

  /** Logs when joining starts to fail and when it works again. */
  #updateJoinStatus(error: unknown): void {
    const isFailing = error !== undefined;
    if (isFailing === this.#isFailing) return;
    this.#isFailing = isFailing;
    if (isFailing) {
      this.#options.logger.warn("joining the owner group failed", {
        reason: String(error),
      });
    } else {
      this.#options.logger.info("joining the owner group works again");
    }
  }
}
