/**
 * Admission of a request: checks its key, the freshness of the instance and the rate limit of the
 * workspace. The key and the freshness are checked again right before the request starts any work.
 */

import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { CallerError } from "../../common/errors.ts";
import type { WorkspaceId } from "../../common/ids.ts";
import type { ControlView, KeyOwner } from "../../control/control-state.ts";
import type { Workspace } from "../../control/document.ts";
import type { LimitDecision, Limiter } from "../../limits/limiter.ts";

export interface AdmissionOptions {
  control: ControlView;
  limiter: Limiter;
}

/** An admitted request with its workspace. Its checks throw once the key is no longer in force. */
export class Admission {
  readonly workspace: WorkspaceId;
  /** The key in plain text, needed only to check that it is not passed on to an upstream. */
  readonly callerKey: string;
  readonly #keyHash: string;
  readonly #options: AdmissionOptions;

  constructor(
    options: AdmissionOptions & {
      workspace: WorkspaceId;
      callerKey: string;
      keyHash: string;
    },
  ) {
    this.workspace = options.workspace;
    this.callerKey = options.callerKey;
    this.#keyHash = options.keyHash;
    this.#options = options;
  }

  /** Throws a CallerError unless the key is in force now and the instance is fresh. */
  readonly check = (): void => {
    if (!this.#options.control.isFresh()) throw notFreshError();
    this.checkKey();
  };

  /** Throws a CallerError unless the key is in force; for requests that are already running. */
  readonly checkKey = (): void => {
    const { keys } = this.#options.control.state.configuration;
    const owner = keys.get(this.#keyHash);
    if (owner?.workspace !== this.workspace) throw unknownKeyError();
  };

  /** Configuration of the workspace, or undefined if the workspace was removed. */
  get workspaceConfiguration(): Workspace | undefined {
    return this.#options.control.state.configuration.workspaces.get(
      this.workspace,
    );
  }

  /** Takes one token from the workspace's token bucket; throws a CallerError if there is none. */
  async takeRateToken(): Promise<void> {
    const decision = await this.#askLimiter();
    if (decision.admitted) return;
    throw new CallerError({
      status: 429,
      code: "rate_limited",
      message: "the workspace has exceeded its rate limit",
      type: "rate_limit_error",
      retryAfterSeconds: decision.retryAfterSeconds,
    });
  }

  async #askLimiter(): Promise<LimitDecision> {
    try {
      return await this.#options.limiter.take(this.workspace);
    } catch (cause) {
      throw new CallerError({
        status: 503,
        code: "limiter_unavailable",
        message:
          "the rate limit of the workspace cannot be checked at the moment",
        type: "server_error",
        retryAfterSeconds: 1,
        cause,
      });
    }
  }
}

/** The key of a request, from the header `Authorization: Bearer KEY` or `X-Api-Key: KEY`. */
export function findCallerKey(request: IncomingMessage): string | undefined {
  const { authorization } = request.headers;
  if (authorization !== undefined) {
    const match = /^bearer +(\S+) *$/i.exec(authorization);
    if (match) return match[1];
  }
  const key = request.headers["x-api-key"];
  return typeof key === "string" && key.length > 0 ? key : undefined;
}

/** Admits a request by its key; throws a CallerError unless the key is in force. */
export function admit(
  request: IncomingMessage,
  options: AdmissionOptions,
): Admission {
  const callerKey = findCallerKey(request);
  if (callerKey === undefined) {
    throw new CallerError({
      status: 401,
      code: "missing_key",
      message: "the request has no key; send 'Authorization: Bearer KEY'",
      type: "authentication_error",
    });
  }
  // Checked before the key is looked up: an instance that is not fresh may not know yet a key that
  // was issued a moment ago.
  if (!options.control.isFresh()) throw notFreshError();
  const keyHash = createHash("sha256").update(callerKey).digest("hex");
  const owner: KeyOwner | undefined = options.control.state.configuration.keys
    .get(keyHash);
  if (!owner) throw unknownKeyError();
  return new Admission({
    ...options,
    workspace: owner.workspace,
    callerKey,
    keyHash,
  });
}

export function notFreshError(): CallerError {
  return new CallerError({
    status: 503,
    code: "not_fresh",
    message: "the instance cannot confirm that its configuration is current",
    type: "server_error",
    retryAfterSeconds: 1,
  });
}

function unknownKeyError(): CallerError {
  return new CallerError({
    status: 401,
    code: "unknown_key",
    message: "the key is not known or has been withdrawn",
    type: "authentication_error",
  });
}
