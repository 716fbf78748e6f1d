/**
 * Answers the calls on batch jobs: submit, read results, read an item's body and end. Any instance
 * can answer them. The answer is 404 only if the job or item certainly does not exist in the
 * caller's workspace, and 503 if the instance cannot make sure because the store is unavailable.
 */

import { Buffer } from "node:buffer";
import type { JobId, RouteId, WorkspaceId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import type { RouteRule } from "../fleet/configuration.ts";
import type { JobCall, ReceivedRequest } from "../gateway/caller-request.ts";
import type { ErrorAnswer } from "../gateway/caller-response.ts";
import { defaultRetryAfterMilliseconds } from "../gateway/constants.ts";
import type { JobCalls } from "../gateway/gateway.ts";
import { overloadedError } from "../gateway/request-errors.ts";
import { clientOfWorkspace } from "../overload/client-id.ts";
import type { HeldBytes } from "../overload/held-bytes.ts";
import { StoreUnavailableError } from "../store/keyed-store.ts";
import {
  defaultSubmitDeadlineMilliseconds,
  maximumResultBytes,
  submissionCopies,
  submitDeadlineShare,
  writeRetryMilliseconds,
} from "./constants.ts";
import type { ItemBodies } from "./item-bodies.ts";
import type { JobAdmission } from "./job-admission.ts";
import type { JobCodec, SubmittedItem } from "./job-codec.ts";
import type { JobPartition, JobPartitions } from "./job-partition.ts";
import type { JobResponse } from "./job-response.ts";
import type { JobState } from "./partition-state.ts";
import { encodeRecord, endKey, jobKey, type JobRecord } from "./records.ts";
import type { TokenDecision, TokenDemand } from "./waiting-tokens.ts";

export interface JobCallHandlerOptions {
  readonly heldBytes: HeldBytes;
  readonly partitions: JobPartitions;
  readonly bodies: ItemBodies;
  readonly admission: Pick<JobAdmission, "reserve" | "release">;
  readonly codec: JobCodec;
  readonly now: () => number;
  readonly wallNow: () => number;
  readonly logger: Logger;
}

export class JobCallHandler implements JobCalls {
  readonly #options: JobCallHandlerOptions;

  constructor(options: JobCallHandlerOptions) {
    this.#options = options;
  }

  submit(
    received: ReceivedRequest,
    route: RouteRule,
    workspace: WorkspaceId | undefined,
    response: JobResponse,
  ): void {
    const holding = this.#options.heldBytes.tryHold(
      { kind: "job_call", client: clientOfWorkspace(workspace) },
      received.body.length * submissionCopies,
    );
    if (!holding) return response.fail(overloadedError);
    this.#reportOutcome(
      this.#submit(received, route, workspace, response)
        .finally(() => holding.dispose()),
      received,
      response,
    );
  }

  handle(
    call: JobCall,
    received: ReceivedRequest,
    _route: RouteRule,
    workspace: WorkspaceId | undefined,
    response: JobResponse,
  ): void {
    this.#reportOutcome(
      this.#dispatch(call, received, workspace, response),
      received,
      response,
    );
  }

  /** Sends the error answer if the call returns one or throws. */
  #reportOutcome(
    outcome: Promise<ErrorAnswer | undefined>,
    { request }: ReceivedRequest,
    response: JobResponse,
  ): void {
    outcome.then(
      (answer) => {
        if (!answer) return;
        this.#options.logger.info("a call on a job was refused", {
          request: request.id ?? null,
          path: request.path,
          code: answer.code,
        });
        response.fail(answer);
      },
      (error) => {
        this.#options.logger.error("a call on a job failed", {
          request: request.id ?? null,
          path: request.path,
          reason: String(error),
        });
        response.fail({
          status: 502,
          code: "failed",
          message: "the call could not be carried out",
        });
      },
    );
  }

  #dispatch(
    call: JobCall,
    received: ReceivedRequest,
    workspace: WorkspaceId | undefined,
    response: JobResponse,
  ): Promise<ErrorAnswer | undefined> {
    switch (call.kind) {
      case "malformed":
        return Promise.resolve(malformedJob(call.reason));
      case "results":
        return this.#sendResults(call, received, workspace, response);
      case "body":
        return this.#sendBody(call, workspace, response);
      case "end":
        return this.#endJob(call.job, workspace, response);
    }
  }

  async #submit(
    received: ReceivedRequest,
    route: RouteRule,
    workspace: WorkspaceId | undefined,
    response: JobResponse,
  ): Promise<ErrorAnswer | undefined> {
    const { partitions, codec, now, logger } = this.#options;
    const job = received.request.id as unknown as JobId;
    const partition = partitions.forJob(job);
    const items = codec.decodeSubmission(received.body);
    if (typeof items === "string") return malformedJob(items);
    const timeLimitMilliseconds = (received.request.deadlineMilliseconds ??
      defaultSubmitDeadlineMilliseconds) * submitDeadlineShare;
    const deadline = received.receivedAt + timeLimitMilliseconds;
    const demand: TokenDemand = {
      job,
      workspace,
      route: route.id,
      tokens: items.reduce((sum, { tokens }) => sum + tokens, 0),
      maximumTokens: route.maximumWaitingTokens,
    };
    const decision = await this.#reserveTokens(demand);
    if (!decision) return storeUnavailable;
    if (!decision.isAdmitted) {
      // An earlier attempt of the caller may have written the job, which then runs.
      if (!await partition.catchUp()) return storeUnavailable;
      const known = partition.job(job);
      if (known) return this.#answerAccepted(known, workspace, response);
      return this.#refuseForWaitingTokens(demand, decision);
    }
    let mayHaveTakenEffect = false;
    while (now() < deadline) {
      const known = partition.job(job);
      if (known) return this.#answerAccepted(known, workspace, response);
      try {
        const record = await this.#writeJob(
          partition,
          job,
          items,
          route,
          received,
          workspace,
        );
        logger.info("a job was accepted", {
          job,
          items: items.length,
          partition: partition.number,
          milliseconds: Math.round(now() - received.receivedAt),
        });
        response.sendJson(202, { id: job, total: record.items.length });
        return undefined;
      } catch (error) {
        if (!(error instanceof StoreUnavailableError)) throw error;
        mayHaveTakenEffect ||= error.mayHaveTakenEffect;
        logger.warn("a job could not be written to the store", {
          job,
          reason: error.message,
          mayHaveTakenEffect: error.mayHaveTakenEffect,
        });
        if (!mayHaveTakenEffect) {
          this.#options.admission.release(demand);
          return storeUnavailable;
        }
        await delay(systemTimers, writeRetryMilliseconds);
      }
    }
    return mayHaveTakenEffect ? outcomeUnknown : storeUnavailable;
  }

  /** Returns undefined if it cannot be decided whether the job fits. */
  async #reserveTokens(
    demand: TokenDemand,
  ): Promise<TokenDecision | undefined> {
    try {
      return await this.#options.admission.reserve(demand);
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      this.#options.logger.warn("the admission of a job cannot be decided", {
        job: demand.job,
        reason: error.message,
      });
      return undefined;
    }
  }

  #refuseForWaitingTokens(
    { job, workspace, route, tokens, maximumTokens }: TokenDemand,
    decision: Extract<TokenDecision, { isAdmitted: false }>,
  ): ErrorAnswer {
    const { waitingTokens, retryAfterMilliseconds } = decision;
    this.#options.logger.info("a job exceeds the limit of waiting tokens", {
      job,
      workspace: workspace ?? null,
      route,
      tokens,
      waitingTokens,
      maximumTokens,
      retryAfter: Math.round(retryAfterMilliseconds),
    });
    return {
      status: 429,
      code: "waiting_tokens",
      message:
        "too many tokens of the workspace wait on this route; no part of the job runs",
      retryAfterMilliseconds,
    };
  }

  #answerAccepted(
    state: JobState,
    workspace: WorkspaceId | undefined,
    response: JobResponse,
  ): ErrorAnswer | undefined {
    if (state.record.workspace !== workspace) return unknownJob;
    response.sendJson(202, {
      id: state.record.job,
      total: state.record.items.length,
    });
    return undefined;
  }

  /** Writes the bodies before the job record, so that every accepted job has all of its bodies. */
  async #writeJob(
    partition: JobPartition,
    job: JobId,
    items: readonly SubmittedItem[],
    route: RouteRule,
    received: ReceivedRequest,
    workspace: WorkspaceId | undefined,
  ): Promise<JobRecord> {
    const { bodies, wallNow } = this.#options;
    let bodyOffset: number;
    try {
      bodyOffset = await bodies.write(
        partition,
        job,
        items.map((item) => item.body),
      );
    } catch (error) {
      // Bodies without a job record never run, so it does not matter whether they were written.
      if (!(error instanceof StoreUnavailableError)) throw error;
      throw new StoreUnavailableError(error.message, {
        mayHaveTakenEffect: false,
        cause: error,
      });
    }
    const acceptedAt = wallNow();
    const record: JobRecord = {
      kind: "job",
      job,
      workspace,
      route: route.id as RouteId,
      host: received.request.host,
      acceptedAt,
      dueAt: acceptedAt + route.dueMilliseconds,
      retainedUntil: acceptedAt + route.retentionMilliseconds,
      maximumAttempts: route.maximumAttempts,
      bodyOffset,
      items: items.map(({ id, path, headers, tokens, body }) => ({
        id,
        path,
        headers,
        tokens,
        bodyBytes: body.length,
      })),
    };
    await partition.append([{ key: jobKey(job), value: encodeRecord(record) }]);
    return record;
  }

  async #sendResults(
    call: Extract<JobCall, { kind: "results" }>,
    received: ReceivedRequest,
    workspace: WorkspaceId | undefined,
    response: JobResponse,
  ): Promise<ErrorAnswer | undefined> {
    const { partitions, codec, now } = this.#options;
    const found = await this.#findJob(call.job, workspace);
    if ("status" in found) return found;
    const partition = partitions.forJob(call.job);
    const until = received.receivedAt + call.waitMilliseconds;
    while (found.results.length <= call.after && now() < until) {
      if (found.results.length === found.record.items.length) break;
      if (response.isOver) return undefined;
      await waitForChange(partition, call.job, until - now());
    }
    if (found.results.length <= call.after) {
      const isComplete = found.results.length === found.record.items.length;
      if (!isComplete && !await partition.refresh()) return storeUnavailable;
    }
    const results = pageOf(found, call.after);
    response.sendJson(
      200,
      codec.encodeResults({
        total: found.record.items.length,
        next: call.after + results.length,
        results,
        itemId: (item) => found.record.items[item]!.id,
      }),
    );
    return undefined;
  }

  async #sendBody(
    call: Extract<JobCall, { kind: "body" }>,
    workspace: WorkspaceId | undefined,
    response: JobResponse,
  ): Promise<ErrorAnswer | undefined> {
    const { partitions, bodies, logger } = this.#options;
    const found = await this.#findJob(call.job, workspace);
    if ("status" in found) return found;
    const item = found.record.items.findIndex(({ id }) => id === call.item);
    if (item < 0) return unknownItem;
    try {
      const body = await bodies.read(
        partitions.forJob(call.job),
        found.record,
        item,
      );
      response.sendBytes(200, "application/octet-stream", body);
      return undefined;
    } catch (error) {
      logger.warn("a requested item body cannot be read", {
        job: call.job,
        item: call.item,
        reason: String(error),
      });
      return storeUnavailable;
    }
  }

  async #endJob(
    job: JobId,
    workspace: WorkspaceId | undefined,
    response: JobResponse,
  ): Promise<ErrorAnswer | undefined> {
    const { partitions, logger } = this.#options;
    const found = await this.#findJob(job, workspace);
    if ("status" in found) return found;
    const partition = partitions.forJob(job);
    if (!found.isEnded) {
      try {
        await partition.append([{
          key: endKey(job),
          value: encodeRecord({ kind: "end", job }),
        }]);
      } catch (error) {
        if (!(error instanceof StoreUnavailableError)) throw error;
        logger.warn("the end of a job could not be written to the store", {
          job,
          reason: error.message,
        });
        return error.mayHaveTakenEffect ? outcomeUnknown : storeUnavailable;
      }
      partition.readNow();
    }
    logger.info("a job was ended by its caller", { job });
    response.sendJson(200, { id: job, ended: true });
    return undefined;
  }

  /**
   * Returns the job, or the error answer if the job does not exist for the workspace or the store
   * is unavailable.
   */
  async #findJob(
    job: JobId,
    workspace: WorkspaceId | undefined,
  ): Promise<JobState | ErrorAnswer> {
    const partition = this.#options.partitions.forJob(job);
    let state = partition.job(job);
    if (!state) {
      if (!await partition.catchUp()) return storeUnavailable;
      state = partition.job(job);
    }
    if (!state || state.record.workspace !== workspace) return unknownJob;
    return state;
  }
}

/** Returns the results from a position on, up to `maximumResultBytes`, but at least one if any. */
function pageOf(state: JobState, after: number) {
  const page = [];
  let bytes = 0;
  for (const result of state.results.slice(after)) {
    bytes += Buffer.byteLength(result.text);
    if (page.length > 0 && bytes > maximumResultBytes) break;
    page.push(result);
  }
  return page;
}

/** Resolves at the next change of the job or after the time limit. */
function waitForChange(
  partition: JobPartition,
  job: JobId,
  milliseconds: number,
): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      cancel();
      resolve();
    };
    const timer = setTimeout(finish, Math.max(0, milliseconds));
    const cancel = partition.onNextJobChange(job, finish);
  });
}

export function malformedJob(reason: string): ErrorAnswer {
  return { status: 400, code: "malformed_job", message: reason };
}

const storeUnavailable: ErrorAnswer = {
  status: 503,
  code: "store_unavailable",
  message: "the store does not answer; nothing was done",
  retryAfterMilliseconds: defaultRetryAfterMilliseconds,
};

const outcomeUnknown: ErrorAnswer = {
  status: 504,
  code: "outcome_unknown",
  message: "the store did not answer; the call may have taken effect",
};

const unknownJob: ErrorAnswer = {
  status: 404,
  code: "unknown_job",
  message: "no such job",
};

const unknownItem: ErrorAnswer = {
  status: 404,
  code: "unknown_item",
  message: "the job has no such item",
};
