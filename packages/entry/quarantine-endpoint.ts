/**
 * Lets operators list the verdicts on prompt parts and lift one, at the address of the metrics:
 * `GET /quarantine` and `DELETE /quarantine/PART`.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { PromptPartId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { Quarantine } from "../quarantine/quarantine.ts";

const listPath = "/quarantine";
const partPattern = /^\/quarantine\/([0-9a-f]+)$/;

export interface QuarantineEndpointOptions {
  readonly quarantine: Pick<Quarantine, "verdicts" | "lift">;
  readonly logger: Logger;
}

/** Answers the request and returns true, or returns false if it is for another path. */
export function handleQuarantineRequest(
  request: IncomingMessage,
  response: ServerResponse,
  { quarantine, logger }: QuarantineEndpointOptions,
): boolean {
  const path = request.url?.split("?", 1)[0] ?? "/";
  if (path === listPath && request.method === "GET") {
    send(response, 200, { verdicts: quarantine.verdicts });
    return true;
  }
  const part = partPattern.exec(path)?.[1] as PromptPartId | undefined;
  if (part === undefined || request.method !== "DELETE") return false;
  quarantine.lift(part).then(
    (isLifted) => {
      logger.warn("an operator lifted the quarantine of a prompt part", {
        part,
        isLifted,
      });
      if (isLifted) send(response, 200, { lifted: part });
      else send(response, 404, { error: `part ${part} is not quarantined` });
    },
    (error) => {
      logger.error("the quarantine of a prompt part could not be lifted", {
        part,
        reason: String(error),
      });
      send(response, 503, { error: "the store did not confirm the change" });
    },
  );
  return true;
}

function send(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
