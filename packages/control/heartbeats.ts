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
  heartbeatMilliseconds,
  relayHeartbeatMilliseconds,
  relaySilenceMilliseconds,
} from "./constants.ts";
import type { PeerAnswer } from "./freshness.ts";
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
    quiet: ReadonlySet<InstanceId>,
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
  onNamedOffset: (peer: InstanceId, offset: Offset) => void;
  /** An answer may have changed the evidence. */
  onAnswer: () => void;
  /** Called after each round of heartbeats was sent. */
  onRound: () => void;
}

/** Bytes of a frame around the body of a heartbeat and of its answer. */
const requestFrameBytes = 48;
const replyFrameBytes = 31;

export class Heartbeats {
  readonly #options: HeartbeatsOptions;
  readonly answers = new Map<InstanceId, PeerAnswer>();
  /** Highest offset that each peer has named. */
  readonly namedOffsets = new Map<InstanceId, Offset>();
  /** The same by incarnation, for decisions on what is in force. */
  readonly incarnationOffsets = new Map<string, Offset>();
  readonly heardAt = new Map<InstanceId, number>();
  readonly reports = new Map<InstanceId, SilenceReport>();
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
      (body, sender) => this.#answer(body, sender),
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
  noteOffset(peer: PeerSender, offset: Offset): void {
    const key = incarnationKey(peer);
    if (offset > (this.incarnationOffsets.get(key) ?? -1)) {
      this.incarnationOffsets.set(key, offset);
    }
    this.#noteNamedOffset(peer.instance, offset);
  }

  #noteNamedOffset(instance: InstanceId, offset: Offset): void {
    if (offset > (this.namedOffsets.get(instance) ?? -1)) {
      this.namedOffsets.set(instance, offset);
    }
    this.#options.onNamedOffset(instance, offset);
  }

  /** Forgets what is known of instances that are no longer members. */
  forgetOthers(members: Members, keptIncarnations: ReadonlySet<string>): void {
    for (
      const map of [this.answers, this.namedOffsets, this.heardAt, this.reports]
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
      const period = this.#period(group.role);
      this.#runRound(group, period);
      this.#scheduleRound(period);
    }, delay);
  }

  /**
   * A relay's evidence may be a second old when a leaf gets it, so a leaf that lives on it asks
   * twice a second. While the log answers, the slower period saves the relays 1 KB/s.
   */
  #period(role: PeerGroup["role"]): number {
    const { clock, view } = this.#options;
    const logAge = clock.monotonicNow() - view.logEvidenceAt();
    const isSlow = role === "relay" ||
      (role === "leaf" && logAge < relayHeartbeatMilliseconds);
    return isSlow ? relayHeartbeatMilliseconds : heartbeatMilliseconds;
  }

  #runRound(group: PeerGroup, period: number): void {
    const { self, clock, view, onRound } = this.#options;
    const now = clock.monotonicNow();
    const members = view.members();
    // After a pause of this process the silence of the others is its own.
    if (now - this.#lastRoundAt > 2 * period) this.heardAt.clear();
    this.#lastRoundAt = now;
    const quiet = silentMembers(
      this.#watched,
      this.heardAt,
      now,
      relaySilenceMilliseconds,
    );
    const extra = view.extraContacts(new Set(quiet));
    const contacts = new Set([...group.contacts, ...extra]);
    contacts.delete(self);
    this.#watched = [...new Set([...group.watched, ...contacts])];
    for (const instance of this.#watched) {
      if (!this.heardAt.has(instance)) this.heardAt.set(instance, now);
    }
    const silent = silentMembers(this.#watched, this.heardAt, now)
      .filter((instance) => members.has(instance));
    if (members.has(self)) {
      this.reports.set(self, { at: now, silent: new Set(silent) });
    }
    const body: HeartbeatBody = [view.appliedOffset(), silent];
    const bytes = encodeValue(body).length + requestFrameBytes;
    for (const contact of contacts) {
      this.heartbeatsSent += 1;
      this.bytesSent += bytes;
      void this.#ask(contact, body);
    }
    onRound();
  }

  async #ask(peer: InstanceId, body: HeartbeatBody): Promise<void> {
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
      this.#noteNamedOffset(peer, appliedOffset);
    } else {
      this.noteOffset(member, appliedOffset);
      this.heardAt.set(peer, this.#options.clock.monotonicNow());
      const earlier = this.answers.get(peer);
      if (!earlier || earlier.sentAt < sentAt) {
        this.answers.set(peer, {
          sentAt,
          appliedOffset,
          evidenceAge: evidenceAge ?? Number.POSITIVE_INFINITY,
        });
      }
      if (inForceOffset > this.inForceOffset) {
        this.inForceOffset = inForceOffset;
      }
    }
    this.#options.onAnswer();
  }

  #answer(
    [appliedOffset, silent]: HeartbeatBody,
    sender: PeerSender,
  ): HeartbeatReply {
    const now = this.#options.clock.monotonicNow();
    if (this.#isCurrent(sender)) {
      this.heardAt.set(sender.instance, now);
      this.reports.set(sender.instance, { at: now, silent: new Set(silent) });
    }
    this.noteOffset(sender, appliedOffset);
    const { view } = this.#options;
    const age = now - view.evidenceAt();
    const reply: HeartbeatReply = [
      hashNumber(view.incarnation()),
      view.appliedOffset(),
      Number.isFinite(age) ? Math.max(0, Math.ceil(age)) : null,
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
