/** Records what servers state about themselves in the answers to this instance. */

import type { InstanceId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { Blackboard } from "./blackboard.ts";
import type { KnownLimit } from "./limits/server-limits.ts";
import type { ServerStatement, StatementEvidence } from "./server-statement.ts";
import type { UpstreamServer } from "./upstreams.ts";

export interface ServerStatementsOptions {
  readonly blackboard: Blackboard;
  /** Called when the limit of a server has changed in an answer to this instance. */
  readonly onLimitChange: () => void;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  /** Called for each header that states nothing, since it cannot be decoded. */
  readonly countMalformed: () => void;
  readonly logger: Logger;
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
    const { blackboard, countMalformed, onLimitChange, logger } = this.#options;
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
    if (statement.limitPerSecond === undefined) return;
    if (!this.#isCurrent(server.id, server.startedAtMilliseconds)) return;
    const change = blackboard.serverLimits.record(
      server,
      statement.limitPerSecond,
      evidence,
    );
    if (!change) return;
    logger.info(limitMessage, { ...change, request: evidence.requestId });
    onLimitChange();
  }

  /** Records limits of servers that another instance, perhaps a dependent, has heard of. */
  recordKnownLimits(
    limits: readonly KnownLimit[],
    sender: InstanceId,
    { isDependent }: { readonly isDependent: boolean },
  ): void {
    const { blackboard, onLimitChange, logger, now } = this.#options;
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
    if (hasChanged && isDependent) onLimitChange();
  }

  /** Whether the server is still in this lifetime, as far as this instance knows. */
  #isCurrent(server: InstanceId, startedAtMilliseconds: number): boolean {
    const current = this.#options.blackboard.upstreams.get(server);
    return current?.startedAtMilliseconds === startedAtMilliseconds;
  }
}

/** The context names the limit in requests per second, null for none. */
const limitMessage = "a server states another limit";
