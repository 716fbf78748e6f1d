/**
 * Exchanges heartbeats with the peer group: requests the applied offset of each contact, replies
 * to heartbeats and records when each member was last heard from and whom it reports as silent.
 */

import type { Clock } from "../common/clock.ts";
import { hashNumber } from "../common/hashing.ts";
import type { Incarnation, InstanceId, Offset } from "../common/ids.ts";
import { encodeValue } from "../protocol/frames.ts";
import type { PeerNetwork, PeerSender } from "../protocol/peer-network.ts";
import {
  heartbeatDeadlineMilliseconds,
  heartbeatIntervalMilliseconds,
  relayHeartbeatIntervalMilliseconds,
  relaySilenceThresholdMilliseconds,
} from "./constants.ts";
import type { PeerReply } from "./freshness.ts";
import {
  type HeartbeatBody,
  heartbeatMessage,
  type HeartbeatReply,
} from "./messages.ts";
import { incarnationKey, type Members, type PeerGroup } from "./peer-group.ts";
import { type SilenceReport, silentMembers } from "./suspicion.ts";

/** State of the instance that heartbeats send or depend on. */
export interface HeartbeatView {
  readonly members: () => Members;
  readonly group: () => PeerGroup;
  /**
   * Members to contact in addition to the group, such as voters of a superseded set.
   * `brieflySilent` holds the members that have passed the silence threshold for relays.
   */
  readonly extraContacts: (
    brieflySilent: ReadonlySet<InstanceId>,
  ) => Iterable<InstanceId>;
  readonly incarnation: () => Incarnation;
  readonly appliedOffset: () => Offset;
  /** Monotonic time of the instance's own evidence of freshness. */
  readonly evidenceAt: () => number;
  /** Monotonic time at which the end of the log was last read. */
  readonly logEvidenceAt: () => number;
  readonly inForceOffset: () => Offset;
}

export interface HeartbeatsOptions {
  self: InstanceId;
  network: PeerNetwork;
  clock: Clock;
  view: HeartbeatView;
  /** Called when a peer has reported its applied offset. */
  onReportedOffset: (peer: InstanceId, offset: Offset) => void;
  /** Called after each reply, which may have changed the evidence. */
  onReply: () => void;
  /** Called after each round of heartbeats has been sent. */
  onRound: () => void;
}

/** Frame overhead in bytes of a heartbeat and of its reply, in addition to the body. */
const requestFrameBytes = 48;
const replyFrameBytes = 31;

export class Heartbeats {
  readonly #options: HeartbeatsOptions;
  readonly replies = new Map<InstanceId, PeerReply>();
  /** Highest applied offset that each peer has reported. */
  readonly reportedOffsets = new Map<InstanceId, Offset>();
  /** Highest applied offset by incarnation, for in-force decisions. */
  readonly incarnationOffsets = new Map<string, Offset>();
  /** Monotonic time at which the last heartbeat or reply of each member arrived. */
  readonly lastHeardAt = new Map<InstanceId, number>();
  /** Last report of each member and of this instance about silent members. */
  readonly silenceReports = new Map<InstanceId, SilenceReport>();
  /** Highest offset that any contact has reported to be in force. */
  inForceOffset = -1 as Offset;
  heartbeatsSent = 0;
  bytesSent = 0;
  #timer: NodeJS.Timeout | undefined;
  #watched: readonly InstanceId[] = [];
  #lastRoundAt = Number.NEGATIVE_INFINITY;
  #isStopped = false;

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
    options.network.handle(
      heartbeatMessage,
      (body, sender) => this.#handleHeartbeat(body, sender),
    );
  }

  start(): void {
    this.#scheduleRound(0);
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Records the applied offset that a peer has reported in any of its messages. */
  recordAppliedOffset(peer: PeerSender, offset: Offset): void {
    const key = incarnationKey(peer);
    if (offset > (this.incarnationOffsets.get(key) ?? -1)) {
      this.incarnationOffsets.set(key, offset);
    }
    this.#recordReportedOffset(peer.instance, offset);
  }

  #recordReportedOffset(instance: InstanceId, offset: Offset): void {
    if (offset > (this.reportedOffsets.get(instance) ?? -1)) {
      this.reportedOffsets.set(instance, offset);
    }
    this.#options.onReportedOffset(instance, offset);
  }

  /** Removes the data of instances that are no longer members. */
  removeNonMembers(
    members: Members,
    keptIncarnations: ReadonlySet<string>,
  ): void {
    for (
      const map of [
        this.replies,
        this.reportedOffsets,
        this.lastHeardAt,
        this.silenceReports,
      ]
    ) {
      for (const instance of map.keys()) {
        if (!members.has(instance)) map.delete(instance);
      }
    }
    for (const key of this.incarnationOffsets.keys()) {
      if (!keptIncarnations.has(key)) this.incarnationOffsets.delete(key);
    }
  }

  #scheduleRound(delay: number): void {
    this.#timer = setTimeout(() => {
      if (this.#isStopped) return;
      const group = this.#options.view.group();
      const interval = this.#roundInterval(group.role);
      this.#runRound(group, interval);
      this.#scheduleRound(interval);
    }, delay);
  }

  /**
   * Interval until the next round. The evidence of a relay may be a second old when a leaf gets
   * it, so a leaf that depends on it sends heartbeats twice a second. While the log responds, a
   * leaf uses the longer interval, which saves the relays 1 KB/s.
   */
  #roundInterval(role: PeerGroup["role"]): number {
    const { clock, view } = this.#options;
    const logAge = clock.monotonicNow() - view.logEvidenceAt();
    const isSlow = role === "relay" ||
      (role === "leaf" && logAge < relayHeartbeatIntervalMilliseconds);
    return isSlow
      ? relayHeartbeatIntervalMilliseconds
      : heartbeatIntervalMilliseconds;
  }

  #runRound(group: PeerGroup, interval: number): void {
    const { self, clock, view, onRound } = this.#options;
    const now = clock.monotonicNow();
    const members = view.members();
    // After a pause of this process, the others only seem silent, so all times are discarded.
    if (now - this.#lastRoundAt > 2 * interval) this.lastHeardAt.clear();
    this.#lastRoundAt = now;
    const brieflySilent = silentMembers(
      this.#watched,
      this.lastHeardAt,
      now,
      relaySilenceThresholdMilliseconds,
    );
    const extraContacts = view.extraContacts(new Set(brieflySilent));
    const contacts = new Set([...group.contacts, ...extraContacts]);
    contacts.delete(self);
    this.#watched = [...new Set([...group.watched, ...contacts])];
    for (const instance of this.#watched) {
      if (!this.lastHeardAt.has(instance)) this.lastHeardAt.set(instance, now);
    }
    const silent = silentMembers(this.#watched, this.lastHeardAt, now)
      .filter((instance) => members.has(instance));
    if (members.has(self)) {
      this.silenceReports.set(self, {
        receivedAt: now,
        silent: new Set(silent),
      });
    }
    const body: HeartbeatBody = [view.appliedOffset(), silent];
    const bytes = encodeValue(body).length + requestFrameBytes;
    for (const contact of contacts) {
      this.heartbeatsSent += 1;
      this.bytesSent += bytes;
      void this.#sendHeartbeat(contact, body);
    }
    onRound();
  }

  async #sendHeartbeat(peer: InstanceId, body: HeartbeatBody): Promise<void> {
    const sentAt = this.#options.clock.monotonicNow();
    let reply: HeartbeatReply;
    try {
      reply = await this.#options.network.request(
        peer,
        heartbeatMessage,
        body,
        { deadlineMilliseconds: heartbeatDeadlineMilliseconds },
      );
    } catch {
      // A failed request is ignored: the silence shows in `lastHeardAt`, which is not updated.
      return;
    }
    if (this.#isStopped) return;
    const [incarnationHash, appliedOffset, evidenceAge, inForceOffset] = reply;
    const member = this.#options.view.members().get(peer);
    // The offset is valid even if the reply comes from a replaced or evicted process.
    if (!member || hashNumber(member.incarnation) !== incarnationHash) {
      this.#recordReportedOffset(peer, appliedOffset);
    } else {
      this.recordAppliedOffset(member, appliedOffset);
      this.lastHeardAt.set(peer, this.#options.clock.monotonicNow());
      const previousReply = this.replies.get(peer);
      if (!previousReply || previousReply.sentAt < sentAt) {
        this.replies.set(peer, {
          sentAt,
          appliedOffset,
          evidenceAge: evidenceAge ?? Number.POSITIVE_INFINITY,
        });
      }
      if (inForceOffset > this.inForceOffset) {
        this.inForceOffset = inForceOffset;
      }
    }
    this.#options.onReply();
  }

  #handleHeartbeat(
    [appliedOffset, silent]: HeartbeatBody,
    sender: PeerSender,
  ): HeartbeatReply {
    const now = this.#options.clock.monotonicNow();
    if (this.#isCurrent(sender)) {
      this.lastHeardAt.set(sender.instance, now);
      this.silenceReports.set(sender.instance, {
        receivedAt: now,
        silent: new Set(silent),
      });
    }
    this.recordAppliedOffset(sender, appliedOffset);
    const { view } = this.#options;
    const ownEvidenceAge = now - view.evidenceAt();
    const reply: HeartbeatReply = [
      hashNumber(view.incarnation()),
      view.appliedOffset(),
      Number.isFinite(ownEvidenceAge)
        ? Math.max(0, Math.ceil(ownEvidenceAge))
        : null,
      view.inForceOffset(),
    ];
    this.bytesSent += encodeValue(reply).length + replyFrameBytes;
    return reply;
  }

  /** Whether the sender is the current member; replaced or evicted processes must not count. */
  #isCurrent({ instance, incarnation }: PeerSender): boolean {
    const member = this.#options.view.members().get(instance);
    return member?.incarnation === incarnation;
  }
}
