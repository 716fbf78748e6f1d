/**
 * The loads of servers as far as this instance knows them: its own requests, the requests that
 * peers report, and the load that a server reports of itself in its responses.
 */

import type { InstanceId } from "../common/ids.ts";
import {
  peerLoadLifetimeMilliseconds,
  selfReportedLoadLifetimeMilliseconds,
} from "./constants.ts";

/** Requests in flight at a server. */
export interface ServerLoad {
  online: number;
  batch: number;
}

/** One instance's requests in flight at a server. */
export interface LoadReport {
  readonly server: InstanceId;
  readonly online: number;
  readonly batch: number;
}

interface PeerLoads {
  readonly receivedAt: number;
  readonly loads: readonly LoadReport[];
}

interface SelfReportedLoad {
  readonly receivedAt: number;
  /** Requests of all callers that were running or queued at the server. */
  readonly total: number;
  /** This instance's requests in flight when the load was received. */
  readonly ownInFlight: number;
}

export class LoadTable {
  readonly #own = new Map<InstanceId, ServerLoad>();
  readonly #peers = new Map<InstanceId, PeerLoads>();
  readonly #peerTotals = new Map<InstanceId, ServerLoad>();
  readonly #selfReportedLoads = new Map<InstanceId, SelfReportedLoad>();

  /** Counts a request of this instance as in flight. */
  addRequest(server: InstanceId, kind: "online" | "batch"): void {
    const load = this.#own.get(server) ?? { online: 0, batch: 0 };
    load[kind] += 1;
    this.#own.set(server, load);
  }

  /** Removes a request that `addRequest` counted. */
  removeRequest(server: InstanceId, kind: "online" | "batch"): void {
    const load = this.#own.get(server);
    if (!load) return;
    load[kind] -= 1;
    if (load.online <= 0 && load.batch <= 0) this.#own.delete(server);
  }

  ownLoads(): LoadReport[] {
    return [...this.#own].map(([server, load]) => ({ server, ...load }));
  }

  ownLoad(server: InstanceId): ServerLoad {
    return this.#own.get(server) ?? { online: 0, batch: 0 };
  }

  setPeerLoads(
    peer: InstanceId,
    loads: readonly LoadReport[],
    now: number,
  ): void {
    this.#removePeer(peer);
    this.#peers.set(peer, { receivedAt: now, loads });
    this.#addToTotals(loads, 1);
  }

  /** Removes the loads of peers whose last report is too old. */
  expire(now: number): void {
    for (const [peer, report] of this.#peers) {
      if (now - report.receivedAt > peerLoadLifetimeMilliseconds) {
        this.#removePeer(peer);
      }
    }
  }

  /** Peers that report batch runs at the server, the one with the most first. */
  peersWithBatchRuns(server: InstanceId): InstanceId[] {
    const matches: { peer: InstanceId; batch: number }[] = [];
    for (const [peer, report] of this.#peers) {
      const load = report.loads.find((entry) => entry.server === server);
      if (load && load.batch > 0) matches.push({ peer, batch: load.batch });
    }
    return matches
      .sort((left, right) => right.batch - left.batch)
      .map((match) => match.peer);
  }

  /** Stores the number of requests that a server reports as running or queued. */
  setSelfReportedLoad(server: InstanceId, total: number, now: number): void {
    const own = this.ownLoad(server);
    this.#selfReportedLoads.set(server, {
      receivedAt: now,
      total,
      ownInFlight: own.online + own.batch,
    });
  }

  /**
   * Estimates the load that the whole fleet puts on a server. A recent self-reported load also
   * covers callers that send no reports; it is corrected by this instance's later changes.
   */
  estimate(server: InstanceId, now: number): ServerLoad {
    const own = this.#own.get(server);
    const peers = this.#peerTotals.get(server);
    const online = (own?.online ?? 0) + (peers?.online ?? 0);
    const batch = (own?.batch ?? 0) + (peers?.batch ?? 0);
    const selfReported = this.#selfReportedLoads.get(server);
    if (
      !selfReported ||
      now - selfReported.receivedAt > selfReportedLoadLifetimeMilliseconds
    ) return { online, batch };
    const ownNow = (own?.online ?? 0) + (own?.batch ?? 0);
    const selfReportedTotal = selfReported.total + ownNow -
      selfReported.ownInFlight;
    return { online: Math.max(online, selfReportedTotal - batch), batch };
  }

  #removePeer(peer: InstanceId): void {
    const report = this.#peers.get(peer);
    if (!report) return;
    this.#peers.delete(peer);
    this.#addToTotals(report.loads, -1);
  }

  #addToTotals(loads: readonly LoadReport[], sign: 1 | -1): void {
    for (const { server, online, batch } of loads) {
      const total = this.#peerTotals.get(server) ?? { online: 0, batch: 0 };
      total.online += sign * online;
      total.batch += sign * batch;
      if (total.online <= 0 && total.batch <= 0) {
        this.#peerTotals.delete(server);
      } else {
        this.#peerTotals.set(server, total);
      }
    }
  }
}
