/**
 * Maintains the control state of one instance: follows the control stream, appends the instance's
 * membership records and decides whether the state is fresh enough to accept requests.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { DisposableStore } from "../common/disposable-store.ts";
import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type Offset,
  type WriterId,
} from "../common/ids.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import type { AppendBudget } from "../log/append-budget.ts";
import { GroupCommitWriter } from "../log/group-commit-writer.ts";
import type { LogClient, StoredRecord } from "../log/log-client.ts";
import { StreamReader } from "../log/stream-reader.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { CheckpointWriter } from "./checkpoint-writer.ts";
import { controlStream, freshnessMilliseconds } from "./constants.ts";
import type { ControlListener, ControlView } from "./control-state.ts";
import { EvictionProposer } from "./eviction-proposer.ts";
import { freshUntil, noEvidence, peerEvidenceAt } from "./freshness.ts";
import { Heartbeats, type HeartbeatView } from "./heartbeats.ts";
import { InForceWaiters } from "./in-force-waiters.ts";
import { LostZones } from "./lost-zones.ts";
import { type ControlIdentity, Membership } from "./membership.ts";
import {
  createPeerGroup,
  incarnationKey,
  majorityOf,
  type Members,
  type PeerGroup,
  votersOf,
} from "./peer-group.ts";
import { RecordRelay } from "./record-relay.ts";
import type { ReducedControlState } from "./reduced-state.ts";
import { ControlStateBuilder } from "./state-builder.ts";
import { VoterHistory } from "./voter-history.ts";

export type { ControlIdentity } from "./membership.ts";

export interface ControlServiceOptions {
  identity: ControlIdentity;
  incarnation: Incarnation;
  client: LogClient;
  network: PeerNetwork;
  budget?: AppendBudget;
  clock?: Clock;
  logger?: Logger;
  /** Returns the incarnation with which to join again after an eviction. */
  renewIncarnation?: (
    previous: Incarnation,
  ) => Incarnation | Promise<Incarnation>;
  onEvicted?: () => void;
  /** Called when another process has joined under this instance id; this one must stop. */
  onReplaced?: () => void;
}

export interface ControlStatistics {
  readonly appliedOffset: Offset;
  /** Wall-clock time at which the log accepted the last applied record; 0 before the first. */
  readonly appliedRecordTime: number;
  readonly recordsApplied: number;
  /** Total time spent on applying records. */
  readonly applyMilliseconds: number;
  readonly inForceOffset: Offset;
  readonly role: PeerGroup["role"];
  readonly heartbeatsSent: number;
  readonly heartbeatBytesSent: number;
  readonly recordsFetched: number;
  readonly evictionsProposed: number;
  readonly checkpointsWritten: number;
  readonly rejoins: number;
}

export class ControlService implements ControlView {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #self: InstanceId;
  readonly #store = new DisposableStore();
  readonly #builder: ControlStateBuilder;
  readonly #reader: StreamReader;
  readonly #membership: Membership;
  readonly #heartbeats: Heartbeats;
  readonly #relay: RecordRelay;
  readonly #evictions: EvictionProposer;
  readonly #checkpoints: CheckpointWriter;
  readonly #voterHistory = new VoterHistory();
  readonly #lostZones = new LostZones();
  readonly #inForceWaiters = new InForceWaiters();
  readonly #listeners = new Set<ControlListener>();
  readonly #caughtUpWaiters: (() => void)[] = [];
  #group: PeerGroup;
  /** Members from which `#group` was created. Restoring a checkpoint may replace all of them. */
  #groupMembers: Members;
  #lastNotifiedState: ReducedControlState;
  #hasCaughtUp = false;
  #logEvidenceAt = noEvidence;
  #evidenceAt = noEvidence;
  #inForceOffset = -1;
  #appliedRecordTime = 0;
  #recordsApplied = 0;
  #applyMilliseconds = 0;
  #updateTimer: NodeJS.Immediate | undefined;

  constructor(options: ControlServiceOptions) {
    const { identity, client, network } = options;
    const clock = this.#clock = options.clock ?? systemClock;
    const logger = this.#logger = options.logger ?? silentLogger;
    const self = this.#self = identity.instance;
    const writerId = brandAs<WriterId>(
      `${self}/${options.incarnation}/control`,
    );
    const budget = options.budget ? { budget: options.budget } : {};
    this.#builder = new ControlStateBuilder((record, state) =>
      this.#handleApplied(record, state)
    );
    this.#lastNotifiedState = this.#builder.state;
    this.#groupMembers = this.#builder.state.members;
    this.#group = createPeerGroup(this.#groupMembers, self);
    const writer = new GroupCommitWriter({
      client,
      stream: controlStream,
      writer: writerId,
      clock,
      logger,
      ...budget,
    });
    this.#reader = new StreamReader({
      client,
      stream: controlStream,
      clock,
      logger,
      onRecord: (record) => this.#handleRecord(record),
      onGap: (start) => this.#handleGap(start),
      onEndReached: (end, sentAt) => this.#handleEndReached(end, sentAt),
    });
    this.#membership = new Membership({
      identity,
      incarnation: options.incarnation,
      clock,
      logger,
      append: (entry) => writer.append(entry),
      canServe: () => this.isFresh() && this.#reachesMajority(),
      renewIncarnation: options.renewIncarnation ?? nextIncarnation,
      onEvicted: options.onEvicted ?? (() => {}),
      onReplaced: options.onReplaced ?? (() => {}),
    });
    this.#heartbeats = new Heartbeats({
      self,
      network,
      clock,
      view: this.#createHeartbeatView(),
      onReportedOffset: (peer, offset) => {
        this.#relay.scheduleFetch(peer, offset);
        // A newer offset ends the evidence immediately; other updates are batched.
        if (offset > this.state.appliedOffset) this.#updateEvidence();
        else this.#scheduleUpdate();
      },
      onReply: () => this.#scheduleUpdate(),
      onRound: () => this.#handleRound(),
    });
    this.#relay = new RecordRelay({
      network,
      announcementTargets: () =>
        new Set([...this.#group.contacts, ...this.#group.watched]),
      reportedOffset: (peer) =>
        this.#heartbeats.reportedOffsets.get(peer) ?? -1,
      appliedOffset: () => this.state.appliedOffset,
      nextOffset: () => this.#reader.next,
      offer: (record) => this.#reader.offer(record),
      onAnnounced: (peer, offset) =>
        this.#heartbeats.recordAppliedOffset(peer, offset),
    });
    this.#evictions = new EvictionProposer({
      self,
      writer: writerId,
      client,
      clock,
      logger,
    });
    this.#checkpoints = new CheckpointWriter({
      self,
      builder: this.#builder,
      writer,
      clock,
      logger,
    });
    this.#store.add(() => writer.close());
    this.#store.add(() => this.#inForceWaiters.stop());
    this.#store.add(() => clearImmediate(this.#updateTimer));
    this.#store.add(() => this.#relay.stop());
    this.#store.add(() => this.#heartbeats.stop());
    this.#store.add(() => this.#membership.stop());
    this.#store.add(() => this.#reader.stop());
  }

  get state(): ReducedControlState {
    return this.#builder.state;
  }

  /** The incarnation under which the instance has joined or will join. */
  get incarnation(): Incarnation {
    return this.#membership.incarnation;
  }

  get isMember(): boolean {
    return this.#membership.isMember;
  }

  get statistics(): ControlStatistics {
    return {
      appliedOffset: this.state.appliedOffset,
      appliedRecordTime: this.#appliedRecordTime,
      recordsApplied: this.#recordsApplied,
      applyMilliseconds: this.#applyMilliseconds,
      inForceOffset: this.#inForceOffset as Offset,
      role: this.#group.role,
      heartbeatsSent: this.#heartbeats.heartbeatsSent,
      heartbeatBytesSent: this.#heartbeats.bytesSent,
      recordsFetched: this.#relay.recordsFetched,
      evictionsProposed: this.#evictions.proposalCount,
      checkpointsWritten: this.#checkpoints.checkpointsWritten,
      rejoins: this.#membership.rejoins,
    };
  }

  start(): void {
    this.#reader.start();
    this.#heartbeats.start();
  }

  async stop(): Promise<void> {
    await this.#store.dispose();
  }

  /** Whether the freshness window of the evidence is still open; called for each request. */
  isFresh(): boolean {
    return this.#clock.monotonicNow() <= freshUntil(this.#evidenceAt);
  }

  onChange(listener: ControlListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  whenInForce(offset: Offset): Promise<void> {
    const waiting = this.#inForceWaiters.add(offset);
    this.#updateInForce();
    return waiting;
  }

  /** Resolves once the instance has applied the stream up to its end for the first time. */
  waitUntilCaughtUp(): Promise<void> {
    if (this.#hasCaughtUp) return Promise.resolve();
    return new Promise((resolve) => this.#caughtUpWaiters.push(resolve));
  }

  /** Appends the join record and resolves when it was applied. */
  join(): Promise<void> {
    return this.#membership.join();
  }

  async announceLeaving(): Promise<void> {
    await this.#membership.announceLeaving();
  }

  async leave(): Promise<void> {
    await this.#membership.leave();
  }

  #createHeartbeatView(): HeartbeatView {
    return {
      members: () => this.state.members,
      group: () => this.#group,
      extraContacts: (brieflySilent) => this.#extraContacts(brieflySilent),
      incarnation: () => this.#membership.incarnation,
      appliedOffset: () => this.state.appliedOffset,
      evidenceAt: () => this.#evidenceAt,
      logEvidenceAt: () => this.#logEvidenceAt,
      inForceOffset: () => this.#inForceOffset as Offset,
    };
  }

  #handleRecord(record: StoredRecord): void {
    this.#checkpoints.trackLogTime(record);
    const startedAt = this.#clock.monotonicNow();
    this.#builder.push(record);
    this.#applyMilliseconds += this.#clock.monotonicNow() - startedAt;
    this.#membership.handleAppliedOffset(this.state.appliedOffset);
    this.#updateEvidence();
    this.#notify();
  }

  #handleApplied(record: StoredRecord, state: ReducedControlState): void {
    this.#recordsApplied += 1;
    this.#appliedRecordTime = record.time;
    this.#relay.addAppliedRecord(record);
    const { members } = state;
    if (members === this.#groupMembers) return;
    this.#voterHistory.markLeft(leftIncarnations(this.#groupMembers, members));
    for (const member of this.#groupMembers.values()) {
      const current = members.get(member.instance);
      // An evicted member may still act on an old state; left and replaced ones do not.
      const hasEnded = current
        ? current.incarnation !== member.incarnation
        : member.state === "leaving";
      if (hasEnded) this.#voterHistory.markEnded(incarnationKey(member));
    }
    this.#groupMembers = members;
    this.#voterHistory.addVoterSet(voterKeys(members), {
      offset: record.offset,
      time: record.time,
      now: this.#clock.monotonicNow(),
    });
    this.#group = createPeerGroup(members, this.#self);
    this.#heartbeats.removeNonMembers(
      members,
      new Set([
        ...this.#voterHistory.voters,
        ...[...members.values()].map(incarnationKey),
      ]),
    );
    this.#membership.handleMembersChange(members);
  }

  #handleGap(start: Offset): void {
    this.#builder.skipTo(start);
    this.#updateEvidence();
    if (this.#builder.isComplete) return;
    this.#logger.warn(
      "records of the control stream are gone; waiting for a checkpoint",
      { start },
    );
  }

  #handleEndReached(end: Offset, sentAt: number): void {
    if (!this.#builder.isComplete) return;
    if (this.state.appliedOffset + 1 < end) return;
    this.#logEvidenceAt = sentAt;
    const isFirst = !this.#hasCaughtUp;
    this.#hasCaughtUp = true;
    this.#updateEvidence();
    if (!isFirst) return;
    this.#notify();
    for (const resolve of this.#caughtUpWaiters.splice(0)) resolve();
  }

  /** Calls the listeners, but not for outdated states during a replay. */
  #notify(): void {
    if (!this.#hasCaughtUp || !this.#builder.isComplete) return;
    const { state } = this;
    const previous = this.#lastNotifiedState;
    this.#lastNotifiedState = state;
    if (
      state.configuration === previous.configuration &&
      state.members === previous.members
    ) return;
    for (const listener of [...this.#listeners]) {
      try {
        listener(state, previous);
      } catch (error) {
        this.#logger.error("a listener to the control state failed", {
          reason: error instanceof Error ? error.message : String(error),
        });
      }
    }
  }

  /** Updates the evidence once for a burst of replies. */
  #scheduleUpdate(): void {
    this.#updateTimer ??= setImmediate(() => {
      this.#updateTimer = undefined;
      this.#updateEvidence();
    });
  }

  #updateEvidence(): void {
    if (!this.#builder.isComplete || !this.#hasCaughtUp) {
      this.#evidenceAt = noEvidence;
      return;
    }
    const peerEvidence = this.#membership.isMember
      ? peerEvidenceAt({
        self: this.#self,
        group: this.#group,
        appliedOffset: this.state.appliedOffset,
        now: this.#clock.monotonicNow(),
        replies: this.#heartbeats.replies,
        reportedOffsets: this.#heartbeats.reportedOffsets,
      })
      : noEvidence;
    this.#evidenceAt = Math.max(this.#logEvidenceAt, peerEvidence);
    this.#updateInForce();
  }

  #updateInForce(): void {
    const { role } = this.#group;
    const ownKey = incarnationKey({
      instance: this.#self,
      incarnation: this.#membership.incarnation,
    });
    const appliedOffsetOf = (key: string): number =>
      key === ownKey
        ? this.state.appliedOffset
        : this.#heartbeats.incarnationOffsets.get(key) ?? -1;
    const majorityOffset = role === "full" || role === "relay"
      ? this.#voterHistory.majorityOffset(
        this.#clock.monotonicNow(),
        appliedOffsetOf,
      )
      : -1;
    this.#inForceOffset = Math.max(
      this.#inForceOffset,
      majorityOffset,
      this.#heartbeats.inForceOffset,
    );
    this.#inForceWaiters.handleMajorityApplied(this.#inForceOffset);
    // In a larger fleet the voters are only the relays, but leaves may act on an older state too.
    if (role === "full") {
      this.#inForceWaiters.handleAllApplied(
        this.#voterHistory.unanimousOffset(appliedOffsetOf),
      );
    }
  }

  #handleRound(): void {
    this.#updateEvidence();
    if (!this.#membership.isMember || !this.isFresh()) return;
    this.#evictions.proposeEvictions(this.state.members, this.#heartbeats);
    this.#checkpoints.writeIfDue();
  }

  /** Voters of superseded sets that are still in use, and members of zones that may be lost. */
  #extraContacts(brieflySilent: ReadonlySet<InstanceId>): InstanceId[] {
    const { role } = this.#group;
    if (role === "leaf" || role === "outside") return [];
    const { members } = this.state;
    const voters = this.#voterHistory.voters;
    return [
      ...[...members.values()]
        .filter((member) => voters.has(incarnationKey(member)))
        .map((member) => member.instance),
      ...this.#lostZones.membersToContact(
        members,
        brieflySilent,
        this.#clock.monotonicNow(),
      ),
    ];
  }

  #reachesMajority(): boolean {
    const voters = votersOf(this.state.members);
    const since = this.#clock.monotonicNow() - freshnessMilliseconds;
    const reachableVoters = voters.filter((voter) =>
      (this.#heartbeats.replies.get(voter)?.sentAt ?? noEvidence) >= since
    );
    return voters.length === 0 ||
      reachableVoters.length >= majorityOf(voters.length);
  }
}

/**
 * Keys of incarnations that were leaving and are no longer members. They gave up what they owned
 * when they started to leave, so in-force decisions need not wait for them.
 */
function leftIncarnations(previous: Members, members: Members): string[] {
  return [...previous.values()]
    .filter(({ instance, state }) =>
      state === "leaving" && !members.has(instance)
    )
    .map(incarnationKey);
}

/** Keys of the incarnations of all voters. */
function voterKeys(members: Members): string[] {
  return votersOf(members).flatMap((instance) => {
    const member = members.get(instance);
    return member ? [incarnationKey(member)] : [];
  });
}

/** Appends a counter to the incarnation, or increments it: `x`, `x+1`, `x+2`. */
function nextIncarnation(previous: Incarnation): Incarnation {
  const [base = previous, count = "0"] = previous.split("+");
  return brandAs<Incarnation>(`${base}+${Number(count) + 1}`);
}
