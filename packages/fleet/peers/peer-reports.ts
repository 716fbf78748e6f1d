/**
 * Exchanges reports with all peers and keeps what they tell: loads, uses of limits, owners of
 * partitions and documents. A connection on which a peer no longer hears this instance, although
 * this instance hears the peer, is replaced.
 */

import type { Clock } from "../../common/clock.ts";
import type { InstanceId, PartitionNumber } from "../../common/ids.ts";
import type { Logger } from "../../common/logging.ts";
import type { PeerNetwork, PeerSender } from "../../protocol/peer-network.ts";
import type { Blackboard } from "../blackboard.ts";
import {
  documentPushIntervalMilliseconds,
  peerSilenceMilliseconds,
  quietPeerIntervalMilliseconds,
  reportIntervalMilliseconds,
  reportIntervalPerPeerMilliseconds,
  unchangedReportIntervalMilliseconds,
} from "../constants.ts";
import type { DocumentKind, Documents } from "../documents.ts";
import type { FleetLimits } from "../limits/fleet-limits.ts";
import type { FleetView } from "../limits/shared-bucket.ts";
import type { Member, MemberTable } from "./members.ts";
import { documentMessage, type PeerReport, reportMessage } from "./report.ts";

/** The network, with a way to replace a connection that has gone silent. */
export interface ReportNetwork extends PeerNetwork {
  reconnect(instance: InstanceId): void;
}

/** What the batch jobs contribute to a report. */
export interface JobReport {
  readonly ownedPartitions: readonly PartitionNumber[];
  readonly ownerGeneration: number;
  readonly waitingItems: number;
}

export interface PeerReportsOptions {
  readonly instance: InstanceId;
  readonly network: ReportNetwork;
  readonly members: MemberTable;
  readonly blackboard: Blackboard;
  readonly documents: Documents;
  readonly limits: () => FleetLimits;
  readonly jobReport: () => JobReport;
  readonly isStoreFailing: () => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface PeerState {
  incarnation: string;
  readonly knownSince: number;
  lastHeardAt: number;
  lastSequence: number;
  /** The newest of our sequences that the peer has confirmed, and when that changed. */
  confirmed: number;
  confirmedAt: number;
  lastSentAt: number;
  lastPushAt: number;
  report: PeerReport | undefined;
}

export class PeerReports {
  readonly #options: PeerReportsOptions;
  readonly #peers = new Map<InstanceId, PeerState>();
  /** Starts at the time of day, so that a later incarnation goes on above it. */
  #sequence: number;
  #reportedLoads = "";
  #reportedAt = Number.NEGATIVE_INFINITY;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;

  constructor(options: PeerReportsOptions) {
    this.#options = options;
    this.#sequence = options.clock.wallNow();
    const { network } = options;
    network.handle(reportMessage, (report, sender) => {
      this.#receive(report, sender);
      return null;
    });
    network.handle(documentMessage, ({ kind, position, records }) => {
      options.documents.accept(kind, records, position, { isSnapshot: false });
      return null;
    });
  }

  start(): void {
    this.#tick();
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Reports at once, so that peers learn of a change without waiting for the interval. */
  announce(): void {
    this.#sendAll(true);
  }

  view(): FleetView {
    const { members, clock, instance } = this.#options;
    const now = clock.monotonicNow();
    const hearing = this.#hearingMilliseconds();
    let total = 1;
    let heard = 1;
    for (const member of members.all()) {
      if (member.instance === instance) continue;
      total += 1;
      const lastHeardAt = this.#peers.get(member.instance)?.lastHeardAt;
      if (lastHeardAt !== undefined && now - lastHeardAt <= hearing) heard += 1;
    }
    return { members: total, heard };
  }

  /** Peers that were heard lately, with their last report. */
  heardReports(): { instance: InstanceId; report: PeerReport }[] {
    const now = this.#options.clock.monotonicNow();
    const heard: { instance: InstanceId; report: PeerReport }[] = [];
    for (const [instance, state] of this.#peers) {
      if (!state.report) continue;
      if (now - state.lastHeardAt > peerSilenceMilliseconds) continue;
      heard.push({ instance, report: state.report });
    }
    return heard;
  }

  /** Members that have not been heard for a time, nor since this instance started. */
  silentMembers(milliseconds: number): Member[] {
    const { members, clock, instance } = this.#options;
    const now = clock.monotonicNow();
    return members.all().filter((member) => {
      if (member.instance === instance) return false;
      const state = this.#peers.get(member.instance);
      const since = Math.max(state?.lastHeardAt ?? 0, state?.knownSince ?? now);
      return now - since > milliseconds;
    });
  }

  /** A peer counts as heard for a few report intervals. */
  #hearingMilliseconds(): number {
    return Math.max(4 * this.#interval(), peerSilenceMilliseconds / 3);
  }

  #interval(): number {
    return Math.max(
      reportIntervalMilliseconds,
      this.#options.members.size * reportIntervalPerPeerMilliseconds,
    );
  }

  #tick(): void {
    if (this.#isStopped) return;
    const { blackboard, clock, limits, documents } = this.#options;
    blackboard.loads.expire(clock.monotonicNow());
    documents.sweep();
    limits().refresh();
    this.#sendAll(false);
    this.#timer = setTimeout(() => this.#tick(), this.#interval());
  }

  #sendAll(isUrgent: boolean): void {
    const { members, instance, clock } = this.#options;
    const now = clock.monotonicNow();
    const loads = this.#options.blackboard.loads.ownReports().map((load) =>
      [load.server, load.online, load.batch] as const
    );
    const text = JSON.stringify(loads);
    const isUnchanged = text === this.#reportedLoads &&
      now - this.#reportedAt < unchangedReportIntervalMilliseconds;
    if (isUnchanged && !isUrgent) return;
    this.#reportedLoads = text;
    this.#reportedAt = now;
    const common = this.#buildReport(loads, now);
    for (const member of members.all()) {
      if (member.instance === instance) continue;
      this.#sendTo(member, common, now, isUrgent);
    }
    for (const peer of this.#peers.keys()) {
      if (members.get(peer)) continue;
      this.#peers.delete(peer);
      this.#options.limits().forgetPeer(peer);
    }
  }

  #sendTo(
    member: Member,
    common: Omit<PeerReport, "heard">,
    now: number,
    isUrgent: boolean,
  ): void {
    const { network } = this.#options;
    const state = this.#stateOf(member.instance, now);
    const isQuiet = now - state.lastHeardAt > peerSilenceMilliseconds;
    if (
      isQuiet && !isUrgent &&
      now - state.lastSentAt < quietPeerIntervalMilliseconds
    ) return;
    if (now - state.confirmedAt > peerSilenceMilliseconds) {
      state.confirmedAt = now;
      network.reconnect(member.instance);
    }
    state.lastSentAt = now;
    network.send(member.instance, reportMessage, {
      ...common,
      heard: state.lastSequence,
    });
  }

  #buildReport(
    loads: PeerReport["loads"],
    now: number,
  ): Omit<PeerReport, "heard"> {
    this.#sequence += 1;
    const { blackboard, documents, limits, jobReport, isStoreFailing } =
      this.#options;
    return {
      sequence: this.#sequence,
      configurationPosition: documents.position("configuration"),
      serversPosition: documents.position("servers"),
      isStoreFailing: isStoreFailing(),
      loads,
      faults: blackboard.health.reportedFailureShares(now)
        .map(({ server, share }) => [server, round(share)] as const),
      uses: limits().ownUses()
        .filter((use) => use.admitted > 0 || use.demandPerSecond > 0)
        .map((use) =>
          [use.workspace, use.admitted, round(use.demandPerSecond)] as const
        ),
      ...jobReport(),
    };
  }

  #receive(report: PeerReport, sender: PeerSender): void {
    const { blackboard, clock, limits } = this.#options;
    const now = clock.monotonicNow();
    const state = this.#stateOf(sender.instance, now);
    if (state.incarnation !== sender.incarnation) {
      state.incarnation = sender.incarnation;
      state.lastSequence = 0;
    }
    if (report.sequence <= state.lastSequence) return;
    state.lastSequence = report.sequence;
    state.lastHeardAt = now;
    state.report = report;
    if (report.heard > state.confirmed) {
      state.confirmed = report.heard;
      state.confirmedAt = now;
    }
    blackboard.loads.setPeer(
      sender.instance,
      report.loads.map(([server, online, batch]) => ({
        server,
        online,
        batch,
      })),
      now,
    );
    for (const [server, share] of report.faults) {
      blackboard.health.notePeerFailureShare(server, share, now);
    }
    limits().notePeer(
      sender.instance,
      sender.incarnation,
      report.uses.map(([workspace, admitted, demandPerSecond]) => ({
        workspace,
        admitted,
        demandPerSecond,
      })),
    );
    this.#pushDocuments(sender.instance, state, report, now);
  }

  /** Gives a peer the records that it lacks and may be unable to read itself. */
  #pushDocuments(
    peer: InstanceId,
    state: PeerState,
    report: PeerReport,
    now: number,
  ): void {
    if (now - state.lastPushAt < documentPushIntervalMilliseconds) return;
    this.#push(peer, state, "configuration", report.configurationPosition, now);
    if (report.isStoreFailing) {
      this.#push(peer, state, "servers", report.serversPosition, now);
    }
  }

  #push(
    peer: InstanceId,
    state: PeerState,
    kind: DocumentKind,
    theirs: number,
    now: number,
  ): void {
    const { documents, network, logger } = this.#options;
    const position = documents.position(kind);
    if (theirs >= position) return;
    const records = documents.recordsSince(kind, theirs);
    state.lastPushAt = now;
    logger.debug("records of a document go to a peer that lacks them", {
      peer,
      kind,
      from: theirs,
      to: position,
    });
    network.send(peer, documentMessage, { kind, position, records });
  }

  #stateOf(peer: InstanceId, now: number): PeerState {
    let state = this.#peers.get(peer);
    if (!state) {
      state = {
        incarnation: "",
        knownSince: now,
        lastHeardAt: Number.NEGATIVE_INFINITY,
        lastSequence: 0,
        confirmed: 0,
        confirmedAt: now,
        lastSentAt: Number.NEGATIVE_INFINITY,
        lastPushAt: Number.NEGATIVE_INFINITY,
        report: undefined,
      };
      this.#peers.set(peer, state);
    }
    return state;
  }
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
