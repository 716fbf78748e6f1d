/** Records what servers state about themselves in the answers to this instance. */

import type { InstanceId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { Blackboard } from "./blackboard.ts";
import type { ServerStatement, StatementEvidence } from "./server-statement.ts";
import type { UpstreamServer } from "./upstreams.ts";

export interface ServerStatementsOptions {
  readonly blackboard: Blackboard;
  /** Called for each header that states nothing, since it cannot be decoded. */
  readonly countMalformed: () => void;
  readonly logger: Logger;
}

export class ServerStatements {
  readonly #options: ServerStatementsOptions;
  readonly #limits = new Map<InstanceId, number>();

  constructor(options: ServerStatementsOptions) {
    this.#options = options;
  }

  record(
    server: UpstreamServer,
    statement: ServerStatement,
    evidence: StatementEvidence,
  ): void {
    const { blackboard, countMalformed, logger } = this.#options;
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
    this.#logLimit(server, statement, evidence);
  }

  #logLimit(
    { id }: UpstreamServer,
    { limitPerSecond }: ServerStatement,
    { requestId }: StatementEvidence,
  ): void {
    if (limitPerSecond === undefined) return;
    const previous = this.#limits.get(id) ?? null;
    if (limitPerSecond === previous) return;
    if (limitPerSecond === null) this.#limits.delete(id);
    else this.#limits.set(id, limitPerSecond);
    this.#options.logger.info("a server states another limit", {
      server: id,
      limitPerSecond,
      previous,
      request: requestId,
    });
  }
}
