/**
 * Connects what protects servers from requests that crash them: the detector of crashes, the
 * quarantine of prompt parts, and the verdicts in the store.
 */

import type { Clock } from "../common/clock.ts";
import type { InstanceId, StreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { CrashDetector } from "../quarantine/crash-detector.ts";
import type { CrashReport } from "../quarantine/crash-evidence.ts";
import { Quarantine } from "../quarantine/quarantine.ts";
import { VerdictStore } from "../quarantine/verdict-store.ts";
import { relaxedFollowWaitMilliseconds } from "../store/constants.ts";
import type { KeyedStore } from "../store/keyed-store.ts";
import { PartitionFollower } from "../store/partition-follower.ts";
import { verdictStream } from "./constants.ts";
import type { EntrySettings } from "./entry-settings.ts";

export interface CrashControlOptions {
  readonly settings: EntrySettings;
  readonly blackboard: Blackboard;
  readonly network: PeerNetwork;
  readonly store: KeyedStore;
  /** All coordinators but this instance. */
  readonly coordinators: () => readonly InstanceId[];
  readonly isCoordinator: () => boolean;
  /** Called when the verdicts on prompt parts have been read for the first time. */
  readonly onVerdictsLoaded: () => void;
  readonly countServerCrash: () => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class CrashControl {
  readonly quarantine: Quarantine;
  readonly detector: CrashDetector;
  readonly #options: CrashControlOptions;
  readonly #verdictStore: VerdictStore;
  readonly #follower: PartitionFollower;

  constructor(options: CrashControlOptions) {
    this.#options = options;
    const { network, store, settings, coordinators, clock, logger } = options;
    this.#verdictStore = new VerdictStore({
      store,
      stream: verdictStream as StreamName,
      logger,
    });
    this.quarantine = new Quarantine({
      network,
      coordinators,
      decides: options.isCoordinator,
      store: this.#verdictStore,
      instance: settings.instance,
      incarnation: settings.incarnation,
      onCrash: (report) => this.#handleCrash(report),
      clock,
      logger,
    });
    this.detector = new CrashDetector({
      onCrash: (report) => {
        options.countServerCrash();
        this.quarantine.reportCrash(report);
      },
      now: clock.monotonicNow,
    });
    this.#follower = this.#createFollower();
  }

  start(): void {
    this.#follower.start();
  }

  stop(): void {
    this.#follower.stop();
    this.#verdictStore.stop();
  }

  /** Avoids the server until it has started again. */
  #handleCrash(report: CrashReport): void {
    const { blackboard, clock } = this.#options;
    const known = blackboard.upstreams.get(report.server);
    if (known?.startedAtMilliseconds !== report.serverStartedAt) return;
    this.detector.recordCrash(report);
    const now = clock.monotonicNow();
    blackboard.health.recordCrash(report.server, now);
    // All coordinators hear of a crash, so that none has to tell the others.
    blackboard.coldServers.recordRefusedConnection(known, now, {
      isOwn: false,
    });
  }

  #createFollower(): PartitionFollower {
    const { store, blackboard, logger, onVerdictsLoaded } = this.#options;
    return new PartitionFollower({
      store,
      target: this.#verdictStore.target,
      logger,
      onRecords: (records, _position, isSnapshot) => {
        this.quarantine.applyRecords(records, { isSnapshot });
        if (blackboard.hasVerdicts) return;
        blackboard.hasVerdicts = true;
        onVerdictsLoaded();
      },
      waitMilliseconds: () => relaxedFollowWaitMilliseconds,
    });
  }
}
