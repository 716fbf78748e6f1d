/** Records what servers state about themselves in the answers to this instance. */

import type { InstanceId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { Blackboard } from "./blackboard.ts";
import type { ColdChange, KnownCold } from "./cold/cold-servers.ts";
import type { KnownLimit } from "./limits/server-limits.ts";
import type { ServerStatement, StatementEvidence } from "./server-statement.ts";
import type { ServerLifetime, UpstreamServer } from "./upstreams.ts";

export interface ServerStatementsOptions {
  readonly blackboard: Blackboard;
  /** Called when other instances have to be told what an answer has stated. */
  readonly onChange: () => void;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  /** Called for each header that states nothing, since it cannot be decoded. */
  readonly countMalformed: () => void;
  readonly logger: Logger;
}

/** What other instances report of servers' statements, with the instance that reports it. */
export interface StatementListeners {
  readonly onServerLimits: (
    limits: readonly KnownLimit[],
    sender: InstanceId,
  ) => void;
  readonly onLeavingServers: (
    servers: readonly ServerLifetime[],
    sender: InstanceId,
  ) => void;
  readonly onColdServers: (
    servers: readonly KnownCold[],
    sender: InstanceId,
  ) => void;
}

export class ServerStatements {
  readonly #options: ServerStatementsOptions;

  constructor(options: ServerStatementsOptions) {
    this.#options = options;
  }

  record(
    server: UpstreamServer,
    statement: ServerStatement,
    evidence: StatementEvidence,
  ): void {
    const { blackboard, countMalformed, onChange, logger } = this.#options;
    for (const header of statement.malformed) {
      countMalformed();
      logger.warn("a statement of a server cannot be decoded", {
        server: server.id,
        request: evidence.requestId,
        header,
      });
    }
    if (statement.load !== undefined) {
      blackboard.loads.setSelfReportedLoad(
        server.id,
        statement.load,
        evidence.statedAt,
      );
    }
    if (
      statement.workTimePercent !== undefined && blackboard.learnsServerSpeeds
    ) {
      blackboard.speeds.recordStated(
        server.id,
        statement.workTimePercent,
        evidence.statedAt,
      );
    }
    if (statement.isLeaving && blackboard.upstreams.markLeaving(server)) {
      logger.info(leavingMessage, {
        server: server.id,
        request: evidence.requestId,
      });
      onChange();
    }
    if (statement.limitPerSecond === undefined) return;
    if (!this.#isCurrent(server.id, server.startedAtMilliseconds)) return;
    const change = blackboard.serverLimits.record(
      server,
      statement.limitPerSecond,
      evidence,
    );
    if (!change) return;
    logger.info(limitMessage, { ...change, request: evidence.requestId });
    onChange();
  }

  /** Records servers that leave, as another instance, perhaps a dependent, has heard. */
  #recordLeavingServers(
    servers: readonly ServerLifetime[],
    sender: InstanceId,
    { isDependent }: { readonly isDependent: boolean },
  ): void {
    const { blackboard, onChange, logger } = this.#options;
    const news = servers.filter((server) =>
      blackboard.upstreams.markLeaving(server)
    );
    for (const { id } of news) {
      logger.debug(leavingMessage, { server: id, heardBy: sender });
    }
    if (news.length > 0 && isDependent) onChange();
  }

  /** Listeners for the reports of coordinators, or of this coordinator's dependents. */
  listeners(origin: { readonly isDependent: boolean }): StatementListeners {
    return {
      onServerLimits: (limits, sender) =>
        this.#recordKnownLimits(limits, sender, origin),
      onLeavingServers: (servers, sender) =>
        this.#recordLeavingServers(servers, sender, origin),
      onColdServers: (servers, sender) =>
        this.#recordColdServers(servers, sender, origin),
    };
  }

  /** Records that a server refused a connection of this instance. */
  recordRefusedConnection(server: UpstreamServer): void {
    const { blackboard, onChange, now } = this.#options;
    if (!this.#isCurrent(server.id, server.startedAtMilliseconds)) return;
    const { coldServers } = blackboard;
    const change = coldServers.recordRefusedConnection(server, now());
    this.#logCold(change);
    if (change) onChange();
  }

  /** Records servers that are cold, as another instance, perhaps a dependent, has found. */
  #recordColdServers(
    servers: readonly KnownCold[],
    sender: InstanceId,
    { isDependent }: { readonly isDependent: boolean },
  ): void {
    const { blackboard, onChange, now } = this.#options;
    let hasChanged = false;
    for (const known of servers) {
      const server = blackboard.upstreams.get(known.server);
      if (server?.startedAtMilliseconds !== known.serverStartedAt) continue;
      const change = blackboard.coldServers.recordKnown(server, known, now(), {
        isDependent,
      });
      this.#logCold(change, sender);
      hasChanged ||= change !== undefined;
    }
    if (hasChanged && isDependent) onChange();
  }

  #logCold(change: ColdChange | undefined, heardBy?: InstanceId): void {
    if (!change) return;
    this.#options.logger.info(coldMessage, {
      ...change,
      heardBy: heardBy ?? null,
    });
  }

  /** Records limits of servers that another instance, perhaps a dependent, has heard of. */
  #recordKnownLimits(
    limits: readonly KnownLimit[],
    sender: InstanceId,
    { isDependent }: { readonly isDependent: boolean },
  ): void {
    const { blackboard, onChange, logger, now } = this.#options;
    let hasChanged = false;
    for (const known of limits) {
      if (!this.#isCurrent(known.server, known.serverStartedAt)) continue;
      const change = blackboard.serverLimits.recordKnown(known, now(), {
        isDependent,
      });
      if (!change) continue;
      hasChanged = true;
      logger.debug(limitMessage, { ...change, heardBy: sender });
    }
    if (hasChanged && isDependent) onChange();
  }

  /** Whether the server is still in this lifetime, as far as this instance knows. */
  #isCurrent(server: InstanceId, startedAtMilliseconds: number): boolean {
    const current = this.#options.blackboard.upstreams.get(server);
    return current?.startedAtMilliseconds === startedAtMilliseconds;
  }
}

/** The context names the requests per second that the server takes from the whole fleet. */
export const coldMessage = "a server counts as cold";
const leavingMessage = "a server states that it is leaving";
/** The context names the limit in requests per second, null for none. */
const limitMessage = "a server states another limit";
