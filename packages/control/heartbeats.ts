/**
 * Exchanges heartbeats with the peer group: asks each contact for its applied offset, answers
 * the heartbeats of others and notes who was heard from and who reports whom as silent.
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

/** What the heartbeats need to know of the instance. */
export interface HeartbeatView {
  readonly members: () => Members;
  readonly group: () => PeerGroup;
  /**
   * Members to contact beside the group, such as voters of an older set, given the members that
   * have been quiet for a short time.
   */
  readonly extraContacts: (
    brieflySilent: ReadonlySet<InstanceId>,
  ) => Iterable<InstanceId>;
  readonly incarnation: () => Incarnation;
  readonly appliedOffset: () => Offset;
  /** Monotonic time of the instance's own evidence. */
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
  /** A peer has named the offset that it has applied. */
  onReportedOffset: (peer: InstanceId, offset: Offset) => void;
  /** An answer may have changed the evidence. */
  onReply: () => void;
  /** Called after each round of heartbeats was sent. */
  onRound: () => void;
}

/** Bytes of a frame around the body of a heartbeat and of its answer. */
const requestFrameBytes = 48;
const replyFrameBytes = 31;

export class Heartbeats {
  readonly #options: HeartbeatsOptions;
  readonly replies = new Map<InstanceId, PeerReply>();
  /** Highest offset that each peer has named. */
  readonly reportedOffsets = new Map<InstanceId, Offset>();
  /** The same by incarnation, for decisions on what is in force. */
  readonly incarnationOffsets = new Map<string, Offset>();
  readonly lastHeardAt = new Map<InstanceId, number>();
  readonly silenceReports = new Map<InstanceId, SilenceReport>();
  /** Highest offset that a contact knows to be in force. */
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

  /** Notes that a peer has applied an offset, as named in any of its messages. */
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

  /** Forgets what is known of instances that are no longer members. */
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
   * A relay's evidence may be a second old when a leaf gets it, so a leaf that lives on it asks
   * twice a second. While the log answers, the slower period saves the relays 1 KB/s.
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
    // After a pause of this process the silence of the others is its own.
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
      // Silence is the answer; it shows in `heardAt`.
      return;
    }
    if (this.#isStopped) return;
    const [incarnationHash, appliedOffset, evidenceAge, inForceOffset] = reply;
    const member = this.#options.view.members().get(peer);
    // An answer of a replaced or evicted process still names an offset that exists.
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

  /** A replaced or evicted process must not pass for the member of the same name. */
  #isCurrent({ instance, incarnation }: PeerSender): boolean {
    const member = this.#options.view.members().get(instance);
    return member?.incarnation === incarnation;
  }
}
