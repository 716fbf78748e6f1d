/** Proposes the eviction of members that enough of their watchers report as silent. */

import type { Clock } from "../common/clock.ts";
import { rankByRendezvous } from "../common/hashing.ts";
import { brandAs, type InstanceId, type WriterId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { recordVersion } from "../log/constants.ts";
import type { LogClient } from "../log/log-client.ts";
import { encodeRecord } from "../log/record.ts";
import { controlStream, silenceThresholdMilliseconds } from "./constants.ts";
import type { Member } from "./control-state.ts";
import type { Heartbeats } from "./heartbeats.ts";
import {
  incarnationKey,
  type Members,
  votersOf,
  watchersOf,
} from "./peer-group.ts";
import { shouldProposeEviction } from "./suspicion.ts";

export interface EvictionProposerOptions {
  self: InstanceId;
  writer: WriterId;
  client: LogClient;
  clock: Clock;
  logger: Logger;
}

export class EvictionProposer {
  readonly #options: EvictionProposerOptions;
  /** Monotonic time of the last proposal for each incarnation. */
  readonly #proposedAt = new Map<string, number>();
  #sequence = 0;
  proposalCount = 0;

  constructor(options: EvictionProposerOptions) {
    this.#options = options;
  }

  /** Checks all silent members once. Must be called only while this member is fresh. */
  proposeEvictions(members: Members, heartbeats: Heartbeats): void {
    const { self, clock } = this.#options;
    const now = clock.monotonicNow();
    const silent = heartbeats.silenceReports.get(self)?.silent;
    if (!silent || silent.size === 0) return;
    for (const suspect of silent) {
      const member = members.get(suspect);
      const lastHeardAt = heartbeats.lastHeardAt.get(suspect);
      if (!member || lastHeardAt === undefined || suspect === self) continue;
      const proposers = votersOf(members)
        .filter((voter) => voter !== suspect && !silent.has(voter));
      const rank = rankByRendezvous(`eviction/${suspect}`, proposers)
        .indexOf(self);
      const isDue = rank >= 0 && shouldProposeEviction({
        now,
        suspect,
        lastHeardAt,
        watchers: watchersOf(members, suspect, silent),
        reports: heartbeats.silenceReports,
        rank,
      });
      if (isDue) void this.#appendProposal(member, now);
    }
  }

  /**
   * Appends the proposal without a retry after a failure. A proposal that is retried until the
   * end of a log outage could evict a member that is reachable again.
   */
  async #appendProposal(member: Member, now: number): Promise<void> {
    const { instance, incarnation } = member;
    const key = incarnationKey(member);
    const previous = this.#proposedAt.get(key) ?? Number.NEGATIVE_INFINITY;
    if (now - previous < silenceThresholdMilliseconds) return;
    this.#proposedAt.set(key, now);
    for (const [proposedKey, proposedAt] of this.#proposedAt) {
      if (
        now - proposedAt > 10 * silenceThresholdMilliseconds
      ) this.#proposedAt.delete(proposedKey);
    }
    const { client, writer, clock, logger } = this.#options;
    logger.warn("a silent member is proposed for eviction", {
      member: instance,
      memberIncarnation: incarnation,
    });
    this.proposalCount += 1;
    const data = encodeRecord({
      version: recordVersion,
      writer: brandAs<WriterId>(`${writer}/evictions`),
      sequence: this.#sequence++,
      writtenAt: clock.wallNow(),
      entries: [{ type: "member-evicted", instance, incarnation }],
    });
    try {
      await client.append(controlStream, data);
    } catch (error) {
      logger.debug("the eviction could not be proposed", {
        member: instance,
        reason: error instanceof Error ? error.message : String(error),
      });
    }
  }
}
