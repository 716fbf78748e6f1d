/**
 * Exchanges reports between the coordinators and passes on what they contain: loads, usage of
 * limits, owners of partitions and positions of documents. Replaces the connection to a peer that stops
 * acknowledging reports, since the peer may no longer hear from this instance although this
 * instance still hears from the peer.
 */

import type { Clock } from "../../common/clock.ts";
import type { InstanceId, PartitionNumber } from "../../common/ids.ts";
import type { Logger } from "../../common/logging.ts";
import type { PeerNetwork, PeerSender } from "../../protocol/peer-network.ts";
import type { Blackboard } from "../blackboard.ts";
import {
  fullUsageIntervalMilliseconds,
  peerSilenceTimeoutMilliseconds,
  reportIntervalMilliseconds,
  reportIntervalPerMemberMilliseconds,
  silentPeerReportIntervalMilliseconds,
  unchangedReportIntervalMilliseconds,
} from "../constants.ts";
import type { StatementListeners } from "../server-statements.ts";
import type { Documents } from "../documents.ts";
import type { FleetLimits, WorkspaceUsage } from "../limits/fleet-limits.ts";
import type { ServerUsage } from "../limits/server-limits.ts";
import type { FleetView } from "../limits/shared-bucket.ts";
import type { Quarantine } from "../../quarantine/quarantine.ts";
import { decodeSpeeds, encodeSpeeds } from "../speed/speed-messages.ts";
import {
  type ConnectionTimings,
  deriveConnectionTimings,
} from "../../transport/connection-timings.ts";
import type { DocumentPush } from "./document-push.ts";
import {
  decodeServerUsage,
  encodeCold,
  encodeLeaving,
  encodeLimits,
  encodeServerUsage,
  notifyOfStatements,
  roundToHundredths,
} from "./statement-messages.ts";
import { withoutEmptyLists } from "../../protocol/optional-lists.ts";
import type { Member } from "./members.ts";
import {
  optionalReportLists,
  type PeerReport,
  reportMessage,
} from "./report.ts";
import { UsageSelection } from "./usage-selection.ts";

/** The peer network, with a way to replace a connection on which reports no longer arrive. */
export interface ReportNetwork extends PeerNetwork {
  reconnect(instance: InstanceId): void;
}

/** The part of a report that concerns batch jobs; its properties are sent as they are. */
export interface JobReport {
  readonly ownedPartitions: readonly PartitionNumber[];
  readonly ownerGeneration: number;
  readonly waitingItems: number;
  /** Live bytes of the owned partitions that are older than the store's history. */
  readonly storedBytes?: number | undefined;
  /** Bytes that this instance has written to the store within its history. */
  readonly writtenBytes?: number | undefined;
}

export interface PeerReportsOptions extends StatementListeners {
  readonly network: ReportNetwork;
  /** The other coordinators. */
  readonly peers: () => readonly Member[];
  readonly blackboard: Blackboard;
  readonly documents: Documents;
  readonly documentPush: DocumentPush;
  readonly limits: () => FleetLimits;
  readonly jobReport: () => JobReport;
  readonly quarantine: Pick<Quarantine, "takeBegins" | "addBegins">;
  readonly isStoreFailing: () => boolean;
  readonly timings?: ConnectionTimings;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface PeerState {
  incarnation: string;
  readonly knownSince: number;
  lastHeardAt: number;
  /** Newest sequence received from the peer's current incarnation; 0 for none. */
  lastSequence: number;
  /** Newest sequence of this instance that the peer has acknowledged; 0 for none. */
  acknowledgedSequence: number;
  /** When the acknowledged sequence last rose or the connection was last replaced. */
  acknowledgedAt: number;
  lastSentAt: number;
  report: PeerReport | undefined;
}

export class PeerReports {
  readonly #options: Required<PeerReportsOptions>;
  readonly #peers = new Map<InstanceId, PeerState>();
  /** Starts at the wall-clock time, so that sequences of a later incarnation are higher. */
  #sequence: number;
  /** The loads of the last report as JSON, compared to detect a change. */
  #lastReportedLoads = "";
  #lastReportedAt = Number.NEGATIVE_INFINITY;
  readonly #usageSelection = new UsageSelection<WorkspaceUsage>(
    ({ workspace }) => workspace,
  );
  readonly #serverUsageSelection = new UsageSelection<ServerUsage>(
    ({ server, serverStartedAt }) => `${server}/${serverStartedAt}`,
  );
  /** State of what servers state that was last reported, and when. */
  #reportedStatementChanges = 0;
  #statementsReportedAt = Number.NEGATIVE_INFINITY;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = true;

  constructor(options: PeerReportsOptions) {
    this.#options = { timings: deriveConnectionTimings(), ...options };
    this.#sequence = options.clock.wallNow();
    const { network } = options;
    network.handle(reportMessage, (report, sender) => {
      this.#receive(report, sender);
      return null;
    });
  }

  start(): void {
    this.#isStopped = false;
    this.#tick();
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Reports immediately, so that peers learn of a change without waiting for the interval. */
  announce(): void {
    if (this.#isStopped) return;
    this.#sendAll(true);
  }

  /** Counts the coordinators and those heard from recently, including this instance. */
  view(): FleetView {
    const { peers, clock } = this.#options;
    const now = clock.monotonicNow();
    const timeout = this.#heardTimeoutMilliseconds();
    let total = 1;
    let heard = 1;
    for (const member of peers()) {
      total += 1;
      const lastHeardAt = this.#peers.get(member.instance)?.lastHeardAt;
      if (lastHeardAt !== undefined && now - lastHeardAt <= timeout) heard += 1;
    }
    return { members: total, heard };
  }

  /** Peers that are not silent, with their last report. */
  recentReports(): { instance: InstanceId; report: PeerReport }[] {
    const now = this.#options.clock.monotonicNow();
    const heard: { instance: InstanceId; report: PeerReport }[] = [];
    for (const [instance, state] of this.#peers) {
      if (!state.report) continue;
      if (now - state.lastHeardAt > peerSilenceTimeoutMilliseconds) continue;
      heard.push({ instance, report: state.report });
    }
    return heard;
  }

  /**
   * Members not heard from for longer than the given time. For a member never heard from, the
   * time counts from this instance's first report to it.
   */
  silentMembers(milliseconds: number): Member[] {
    const { peers, clock } = this.#options;
    const now = clock.monotonicNow();
    return peers().filter((member) => {
      const state = this.#peers.get(member.instance);
      const since = Math.max(state?.lastHeardAt ?? 0, state?.knownSince ?? now);
      return now - since > milliseconds;
    });
  }

  /** Time after its last report for which a peer counts as heard; a few report intervals. */
  #heardTimeoutMilliseconds(): number {
    return Math.max(
      4 * this.#reportInterval(),
      peerSilenceTimeoutMilliseconds / 3,
    );
  }

  #reportInterval(): number {
    return Math.max(
      reportIntervalMilliseconds,
      (this.#options.peers().length + 1) * reportIntervalPerMemberMilliseconds,
    );
  }

  #tick(): void {
    if (this.#isStopped) return;
    const { blackboard, clock, limits, documents } = this.#options;
    blackboard.loads.expire(clock.monotonicNow());
    documents.sweep();
    limits().refresh();
    blackboard.serverLimits.refresh(clock.monotonicNow(), this.view());
    this.#sendAll(false);
    this.#timer = setTimeout(() => this.#tick(), this.#reportInterval());
  }

  /**
   * Reports to all peers if the own loads have changed, the last report is too old or the report
   * is urgent. Then forgets the peers that are no longer coordinators.
   */
  #sendAll(isUrgent: boolean): void {
    const { peers, clock } = this.#options;
    const now = clock.monotonicNow();
    const loads = this.#options.blackboard.loads.ownLoads().map((load) =>
      [load.server, load.online, load.batch] as const
    );
    const encodedLoads = JSON.stringify(loads);
    const isUnchanged = encodedLoads === this.#lastReportedLoads &&
      now - this.#lastReportedAt < unchangedReportIntervalMilliseconds;
    if (isUnchanged && !isUrgent) return;
    this.#lastReportedLoads = encodedLoads;
    this.#lastReportedAt = now;
    const sharedFields = this.#buildReport(loads, now);
    const current = peers();
    for (const member of current) {
      this.#sendTo(member, sharedFields, now, isUrgent);
    }
    const known = new Set(current.map(({ instance }) => instance));
    for (const peer of this.#peers.keys()) {
      if (known.has(peer)) continue;
      this.#peers.delete(peer);
      this.#options.limits().forgetPeer(peer);
      this.#options.blackboard.serverLimits.forgetPeer(peer);
    }
  }

  #sendTo(
    member: Member,
    sharedFields: Omit<PeerReport, "heard">,
    now: number,
    isUrgent: boolean,
  ): void {
    const { network, timings } = this.#options;
    const state = this.#stateOf(member.instance, now);
    const isSilent = now - state.lastHeardAt > peerSilenceTimeoutMilliseconds;
    if (
      isSilent && !isUrgent &&
      now - state.lastSentAt < silentPeerReportIntervalMilliseconds
    ) return;
    if (now - state.acknowledgedAt > timings.checkIntervalMilliseconds) {
      state.acknowledgedAt = now;
      network.reconnect(member.instance);
    }
    state.lastSentAt = now;
    network.send(member.instance, reportMessage, {
      ...sharedFields,
      heard: state.lastSequence,
    });
  }

  /** Builds the part of a report that is the same for all peers. */
  #buildReport(
    loads: PeerReport["loads"],
    now: number,
  ): Omit<PeerReport, "heard"> {
    this.#sequence += 1;
    const { blackboard, documents, limits, jobReport, isStoreFailing } =
      this.#options;
    return withoutEmptyLists({
      sequence: this.#sequence,
      configurationPosition: documents.position("configuration"),
      serversPosition: documents.position("servers"),
      isStoreFailing: isStoreFailing(),
      loads,
      faults: blackboard.health.reportedFailureShares(now)
        .map(({ server, share }) =>
          [server, roundToHundredths(share)] as const
        ),
      uses: this.#usageSelection.select(limits().ownUsages(), now)
        .map((usage) =>
          [
            usage.workspace,
            usage.admitted,
            roundToHundredths(usage.demandPerSecond),
            roundToHundredths(usage.level),
          ] as const
        ),
      ...this.#selectStatements(now),
      serverUses: this.#serverUsageSelection
        .select(blackboard.serverLimits.ownUsages(), now)
        .map(encodeServerUsage),
      speeds: encodeSpeeds(blackboard.speeds.takeDeviations(now)),
      ...jobReport(),
      begun: this.#options.quarantine.takeBegins(),
    }, optionalReportLists);
  }

  /** What servers state if it has changed, and in a longer interval for those who missed it. */
  #selectStatements(
    now: number,
  ): Pick<PeerReport, "serverLimits" | "leavingServers" | "coldServers"> {
    const { serverLimits, upstreams, coldServers } = this.#options.blackboard;
    const changes = serverLimits.changes + upstreams.leavingChanges +
      coldServers.changes;
    const hasChanged = changes !== this.#reportedStatementChanges;
    const isDue =
      now - this.#statementsReportedAt >= fullUsageIntervalMilliseconds;
    if (!hasChanged && !isDue) {
      return { serverLimits: [], leavingServers: [], coldServers: [] };
    }
    this.#reportedStatementChanges = changes;
    this.#statementsReportedAt = now;
    return {
      serverLimits: encodeLimits(serverLimits.known(now)),
      leavingServers: encodeLeaving(upstreams.leavingServers()),
      coldServers: encodeCold(coldServers.known(now)),
    };
  }

  #receive(report: PeerReport, sender: PeerSender): void {
    const { blackboard, clock, limits, documentPush } = this.#options;
    const now = clock.monotonicNow();
    const state = this.#stateOf(sender.instance, now);
    if (state.incarnation !== sender.incarnation) {
      state.incarnation = sender.incarnation;
      state.lastSequence = 0;
    }
    if (report.sequence <= state.lastSequence) return;
    // A peer that has just started, or has been silent, lacks the usage of all limits.
    const isNew = state.lastSequence === 0 ||
      now - state.lastHeardAt > peerSilenceTimeoutMilliseconds;
    state.lastSequence = report.sequence;
    state.lastHeardAt = now;
    state.report = report;
    if (isNew) {
      this.#usageSelection.reset();
      this.#serverUsageSelection.reset();
      this.#statementsReportedAt = Number.NEGATIVE_INFINITY;
      this.announce();
    }
    if (report.heard > state.acknowledgedSequence) {
      state.acknowledgedSequence = report.heard;
      state.acknowledgedAt = now;
    }
    blackboard.loads.setPeerLoads(
      sender.instance,
      report.loads.map(([server, online, batch]) => ({
        server,
        online,
        batch,
      })),
      now,
    );
    this.#options.quarantine.addBegins(report.begun, { isRelayed: false });
    for (const [server, share] of report.faults) {
      blackboard.health.recordPeerFailureShare(server, share, now);
    }
    blackboard.speeds.recordReported(decodeSpeeds(report.speeds), now, {
      isDependent: false,
    });
    limits().recordPeerUsages(
      sender.instance,
      sender.incarnation,
      report.uses.map(([workspace, admitted, demandPerSecond, level]) => ({
        workspace,
        admitted,
        demandPerSecond,
        level,
      })),
    );
    notifyOfStatements(report, sender.instance, this.#options);
    blackboard.serverLimits.recordPeerUsages(
      sender.instance,
      sender.incarnation,
      report.serverUses.map(decodeServerUsage),
    );
    documentPush.push(sender.instance, {
      configuration: report.configurationPosition,
      ...(report.isStoreFailing ? { servers: report.serversPosition } : {}),
    }, now);
  }

  #stateOf(peer: InstanceId, now: number): PeerState {
    let state = this.#peers.get(peer);
    if (!state) {
      state = {
        incarnation: "",
        knownSince: now,
        lastHeardAt: Number.NEGATIVE_INFINITY,
        lastSequence: 0,
        acknowledgedSequence: 0,
        acknowledgedAt: now,
        lastSentAt: Number.NEGATIVE_INFINITY,
        report: undefined,
      };
      this.#peers.set(peer, state);
    }
    return state;
  }
}
