/**
 * A coordinator's side of the coordination: decides for its dependents from the coordinator's view
 * of the fleet, counts their requests, and passes on the documents that they lack. A dependent may
 * know of a coordinator before that instance has taken the role; it is then told to ask another.
 */

import type { Clock } from "../common/clock.ts";
import { RosemaryrudderError } from "../common/errors.ts";
import type { InstanceId } from "../common/ids.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { WorkspaceRule } from "../fleet/configuration.ts";
import type { StatementListeners } from "../fleet/server-statements.ts";
import type { DocumentPush } from "../fleet/peers/document-push.ts";
import {
  encodeLeaving,
  encodeLimits,
  notifyOfStatements,
} from "../fleet/peers/statement-messages.ts";
import { decodeSpeeds } from "../fleet/speed/speed-messages.ts";
import type { LocalPlacer } from "../gateway/placement.ts";
import type { Quarantine } from "../quarantine/quarantine.ts";
import type { PeerNetwork, PeerSender } from "../protocol/peer-network.ts";
import { Dependents } from "./dependents.ts";
import {
  type DependentReport,
  dependentReportMessage,
  makeRoomMessage,
  pingMessage,
  placementMessage,
  type PlacementQuestion,
  roomMessage,
  undecidedCode,
} from "./messages.ts";

export interface CoordinatorServiceOptions extends StatementListeners {
  readonly network: PeerNetwork;
  readonly blackboard: Blackboard;
  readonly placer: LocalPlacer;
  /** Whether this instance is a coordinator and knows enough of the fleet to decide for others. */
  readonly canDecide: () => boolean;
  readonly isStoreFailing: () => boolean;
  readonly documentPush: DocumentPush;
  readonly quarantine: Pick<Quarantine, "addBegins">;
  readonly clock: Clock;
}

export class CoordinatorService {
  readonly #options: CoordinatorServiceOptions;
  readonly #dependents: Dependents;

  constructor(options: CoordinatorServiceOptions) {
    this.#options = options;
    const { network, blackboard, placer, clock } = options;
    const { loads } = blackboard;
    this.#dependents = new Dependents({
      addRequest: (server) => loads.addRequest(server, "online"),
      removeRequest: (server) => loads.removeRequest(server, "online"),
    });
    network.handle(
      placementMessage,
      (question, sender) => this.#place(question, sender, clock.monotonicNow()),
    );
    network.handle(
      roomMessage,
      ({ avoided, zone, excluded, ...rest }) => {
        this.#checkCanDecide();
        return placer.checkRoom(
          { ...rest, excluded: new Set(excluded) },
          { zone, avoided: new Set(avoided) },
        );
      },
    );
    network.handle(makeRoomMessage, ({ server }) => {
      placer.makeRoom(server);
      return null;
    });
    network.handle(
      dependentReportMessage,
      (report, sender) => this.#receiveReport(report, sender),
    );
    network.handle(pingMessage, () => null);
  }

  /** Number of dependents that are attached to this instance. */
  get dependents(): number {
    return this.#dependents.size;
  }

  hasDependent(instance: InstanceId): boolean {
    return this.#dependents.has(instance);
  }

  /** Discards the counts of dependents that have fallen silent. */
  expire(): void {
    this.#dependents.expire(this.#options.clock.monotonicNow());
  }

  #place(
    { limitedWorkspace, excluded, avoided, zone, question, ...choice }:
      PlacementQuestion,
    sender: PeerSender,
    now: number,
  ) {
    this.#checkCanDecide();
    const placement = this.#options.placer.decide({
      ...choice,
      excluded: new Set(excluded),
      limitedWorkspace: limitedWorkspace && this.#findRule(limitedWorkspace),
    }, { zone, avoided: new Set(avoided) });
    if (placement.kind === "send") {
      this.#dependents.grant(sender, question, placement.server.id, now);
    }
    return placement;
  }

  #checkCanDecide(): void {
    if (this.#options.canDecide()) return;
    throw new RosemaryrudderError(
      undecidedCode,
      "this instance does not decide for others",
    );
  }

  /** The rule in force at this instance, or the dependent's if this instance has none. */
  #findRule(
    workspace: NonNullable<PlacementQuestion["limitedWorkspace"]>,
  ): WorkspaceRule | undefined {
    const rule = this.#options.blackboard.configuration
      ?.workspace(workspace.id) ??
      { ...workspace, keys: [], priority: undefined };
    return rule.ratePerSecond > 0 ? rule : undefined;
  }

  #receiveReport(report: DependentReport, sender: PeerSender) {
    const { blackboard, clock, isStoreFailing, documentPush } = this.#options;
    const now = clock.monotonicNow();
    this.#dependents.update(sender, report, now);
    this.#options.quarantine.addBegins(report.begun, { isRelayed: true });
    for (const [server, count] of report.failures) {
      blackboard.health.countFailures(server, count, now);
    }
    notifyOfStatements(report, sender.instance, this.#options);
    blackboard.speeds.recordReported(decodeSpeeds(report.speeds), now, {
      isDependent: true,
    });
    const { serverLimits, upstreams } = blackboard;
    for (const [server, count] of report.unsent) {
      for (let send = 0; send < count; send++) serverLimits.giveBack(server);
    }
    documentPush.push(sender.instance, {
      configuration: report.configurationPosition,
      servers: report.serversPosition,
    }, now);
    const statementChanges = serverLimits.changes + upstreams.leavingChanges;
    const hasChanged = report.knownStatementChanges !== statementChanges;
    return {
      isStoreFailing: isStoreFailing(),
      statementChanges,
      leavingServers: hasChanged
        ? encodeLeaving(upstreams.leavingServers())
        : [],
      serverLimits: hasChanged
        // For the dependent it does not matter which coordinator has heard of a limit.
        ? encodeLimits(
          serverLimits.known(now).map((known) => ({
            ...known,
            isRelayed: false,
          })),
        )
        : [],
    };
  }
}
