/**
 * Decisions on freshness, as pure functions. Evidence is dated by the time at which the request
 * for it was sent, on the monotonic clock, so a pause of the process makes it old by itself.
 */

import type { InstanceId, Offset } from "../common/ids.ts";
import { freshnessMilliseconds } from "./constants.ts";
import { majorityOf, type PeerGroup } from "./peer-group.ts";

/** The latest answer of a peer to a heartbeat. */
export interface PeerReply {
  /** Monotonic time at which the heartbeat was sent. */
  readonly sentAt: number;
  /** Offset that the peer had applied. */
  readonly appliedOffset: Offset;
  /** Age of the peer's own evidence when it answered; infinite if it had none. */
  readonly evidenceAge: number;
}

export interface PeerEvidenceInput {
  readonly self: InstanceId;
  readonly group: PeerGroup;
  readonly appliedOffset: Offset;
  readonly now: number;
  readonly replies: ReadonlyMap<InstanceId, PeerReply>;
  /** Highest offset that each peer has named in any message. */
  readonly reportedOffsets: ReadonlyMap<InstanceId, Offset>;
}

export const noEvidence = Number.NEGATIVE_INFINITY;

/**
 * Time of the evidence that the peers give, or minus infinity. A peer that names an offset that
 * is not applied yet ends the evidence of all of them until it is applied.
 */
export function peerEvidenceAt(input: PeerEvidenceInput): number {
  const { self, group, appliedOffset, now, replies, reportedOffsets } = input;
  if (group.role === "outside") return noEvidence;
  const isBehind = group.contacts.some((peer) =>
    (reportedOffsets.get(peer) ?? -1) > appliedOffset
  );
  if (isBehind) return noEvidence;
  if (group.role === "leaf") {
    const evidenceTimes = group.contacts.map((relay) => {
      const reply = replies.get(relay);
      return reply ? reply.sentAt - reply.evidenceAge : noEvidence;
    });
    return nthHighest(evidenceTimes, majorityOf(group.contacts.length));
  }
  const sentTimes = group.voters.map((voter) =>
    voter === self ? now : replies.get(voter)?.sentAt ?? noEvidence
  );
  return nthHighest(sentTimes, majorityOf(group.voters.length));
}

/** The value that `count` of the values reach; minus infinity if there are fewer values. */
export function nthHighest(
  values: readonly number[],
  rank: number,
): number {
  const sorted = [...values].sort((left, right) => right - left);
  return sorted[rank - 1] ?? noEvidence;
}

/** Last moment at which evidence of this date still makes the instance fresh. */
export function freshUntil(evidenceAt: number): number {
  return evidenceAt + freshnessMilliseconds;
}

/** Highest offset that a majority of the voters has applied. */
export function majorityOffset<Voter>(
  voters: readonly Voter[],
  appliedOffsetOf: (voter: Voter) => number,
): number {
  return nthHighest(voters.map(appliedOffsetOf), majorityOf(voters.length));
}
