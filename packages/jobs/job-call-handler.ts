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
import {
  createErrorAnswer,
  type ErrorAnswer,
} from "../gateway/error-answer.ts";
import type { JobAccess, JobCalls } from "../gateway/gateway.ts";
import { overloadedError } from "../gateway/request-errors.ts";
import { clientOfWorkspace } from "../overload/client-id.ts";
import type { HeldBytes } from "../overload/held-bytes.ts";
import {
  type RelayRules,
  StoreFullError,
  StoreRejectedError,
  StoreUnavailableError,
} from "../store/keyed-store.ts";
import {
  defaultSubmitDeadlineMilliseconds,
  maximumJobIdBytes,
  submissionCopies,
  submitDeadlineShare,
  writeRetryMilliseconds,
} from "./constants.ts";
import {
  BodyMissingError,
  type ItemBodies,
  NoRoomError,
} from "./item-bodies.ts";
import {
  bodyRemoved,
  jobTooLarge,
  malformedJob,
  noCommonRegion,
  otherRegion,
  outcomeUnknown,
  storeFull,
  storeUnavailable,
  tooManyWaitingTokens,
  unknownItem,
  unknownJob,
} from "./job-answers.ts";
import type { JobAdmission } from "./job-admission.ts";
import type { JobCodec, SubmittedItem } from "./job-codec.ts";
import type { JobPartition, JobPartitions } from "./job-partition.ts";
import type { JobRegions } from "./job-regions.ts";
import type { JobResponse } from "./job-response.ts";
import { checkMissingResult, pageOf, waitForResult } from "./job-results.ts";
import type { JobState } from "./partition-state.ts";
import { encodeRecord, endKey, jobKey, type JobRecord } from "./records.ts";
import type { TokenDecision, TokenDemand } from "./waiting-tokens.ts";

export interface JobCallHandlerOptions {
  readonly heldBytes: HeldBytes;
  readonly partitions: JobPartitions;
  readonly bodies: ItemBodies;
  readonly regions: Pick<JobRegions, "allowedFor" | "mayHandle">;
  readonly admission: Pick<JobAdmission, "reserve" | "release">;
  readonly codec: JobCodec;
  /** Whether the store has room for the records of a new job. */
  readonly hasRoomFor: (bytes: number) => boolean;
  /** Longest time from the writing of the bodies to that of the job record. */
  readonly submissionGapMilliseconds: number;
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
    access: JobAccess,
    response: JobResponse,
  ): void {
    this.#reportOutcome(
      this.#dispatch(call, received, access, response),
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
        response.fail(
          createErrorAnswer(502, "failed", "the call could not be carried out"),
        );
      },
    );
  }

  #dispatch(
    call: JobCall,
    received: ReceivedRequest,
    access: JobAccess,
    response: JobResponse,
  ): Promise<ErrorAnswer | undefined> {
    switch (call.kind) {
      case "malformed":
        return Promise.resolve(malformedJob(call.reason));
      case "results":
        return this.#sendResults(call, received, access, response);
      case "body":
        return this.#sendBody(call, access, response);
      case "end":
        return this.#endJob(call.job, access, response);
    }
  }

  async #submit(
    received: ReceivedRequest,
    route: RouteRule,
    workspace: WorkspaceId | undefined,
    response: JobResponse,
  ): Promise<ErrorAnswer | undefined> {
    const { partitions, codec, regions, now, logger } = this.#options;
    const job = received.request.id as unknown as JobId;
    if (Buffer.byteLength(job) > maximumJobIdBytes) {
      return malformedJob(`the id exceeds ${maximumJobIdBytes} bytes`);
    }
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
    const bytes = items.reduce((sum, { body }) => sum + body.length, 0);
    const allowedRegions = regions.allowedFor({
      host: received.request.host,
      route: route.id,
      workspace,
      items,
    });
    const refusal = allowedRegions?.length === 0
      ? noCommonRegion
      : this.#options.hasRoomFor(bytes)
      ? undefined
      : storeFull;
    if (refusal && !partition.job(job)) {
      // As for waiting tokens, an earlier attempt may have written the job.
      if (!await partition.catchUp()) return storeUnavailable;
      if (!partition.job(job)) return refusal;
    }
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
          { workspace, allowedRegions },
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
        if (error instanceof StoreRejectedError && !mayHaveTakenEffect) {
          this.#options.admission.release(demand);
          return jobTooLarge;
        }
        if (!(error instanceof StoreUnavailableError)) throw error;
        mayHaveTakenEffect ||= error.mayHaveTakenEffect;
        logger.warn("a job could not be written to the store", {
          job,
          reason: error.message,
          mayHaveTakenEffect: error.mayHaveTakenEffect,
        });
        if (!mayHaveTakenEffect) {
          this.#options.admission.release(demand);
          return error instanceof StoreFullError ? storeFull : storeUnavailable;
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
    return tooManyWaitingTokens(retryAfterMilliseconds);
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
    { workspace, allowedRegions }: RelayRules & Pick<JobRecord, "workspace">,
  ): Promise<JobRecord> {
    const { bodies, regions, now, wallNow, submissionGapMilliseconds } =
      this.#options;
    const startedAt = now();
    const contents = items.map((item) => item.body);
    let bodyOffset: number;
    try {
      bodyOffset = await bodies.write(partition, job, contents, {
        allowedRegions,
      });
    } catch (error) {
      // Bodies without a job record never run, so it does not matter whether they were written.
      if (
        !(error instanceof StoreUnavailableError) ||
        error instanceof StoreFullError
      ) throw error;
      throw new StoreUnavailableError(error.message, {
        mayHaveTakenEffect: false,
        cause: error,
      });
    }
    // After a longer pause the bodies may have been removed as belonging to no job.
    if (now() - startedAt > submissionGapMilliseconds) {
      bodies.reportOrphaned(partition, job, contents);
      throw new StoreUnavailableError("writing the bodies took too long", {
        mayHaveTakenEffect: false,
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
    try {
      await partition.append([
        { key: jobKey(job), value: encodeRecord(record) },
      ]);
    } catch (error) {
      bodies.reportOrphaned(partition, job, contents);
      throw error;
    }
    if (!regions.mayHandle(record)) bodies.evict(job);
    return record;
  }

  async #sendResults(
    call: Extract<JobCall, { kind: "results" }>,
    received: ReceivedRequest,
    access: JobAccess,
    response: JobResponse,
  ): Promise<ErrorAnswer | undefined> {
    const { partitions, codec, now } = this.#options;
    const found = await this.#findJob(call.job, access);
    if ("status" in found) return found;
    const partition = partitions.forJob(call.job);
    await waitForResult(partition, found, {
      position: call.after,
      until: received.receivedAt + call.waitMilliseconds,
      now,
      isOver: () => response.isOver,
    });
    if (
      !await checkMissingResult(partition, found, call.after, this.#options)
    ) {
      return storeUnavailable;
    }
    const { results, bytes } = pageOf(found, call.after);
    // Encoded pages that are refused would be garbage.
    if (!response.tryReserve(bytes)) return undefined;
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
    access: JobAccess,
    response: JobResponse,
  ): Promise<ErrorAnswer | undefined> {
    const { partitions, bodies, regions, logger } = this.#options;
    const found = await this.#findJob(call.job, access);
    if ("status" in found) return found;
    const mayHandOver = regions.mayHandle(found.record) &&
      regions.mayHandle(found.record, access.forwarderZone);
    if (!mayHandOver) return otherRegion;
    const item = found.record.items.findIndex(({ id }) => id === call.item);
    if (item < 0) return unknownItem;
    try {
      const body = await bodies.read(
        partitions.forJob(call.job),
        found.record,
        item,
        { mayBeRefused: true },
      );
      response.sendBytes(200, "application/octet-stream", body);
      return undefined;
    } catch (error) {
      if (error instanceof NoRoomError) return overloadedError;
      logger.warn("a requested item body cannot be read", {
        job: call.job,
        item: call.item,
        reason: String(error),
      });
      const isNeeded = !found.isEnded && !found.finished.has(item);
      return error instanceof BodyMissingError && !isNeeded
        ? bodyRemoved
        : storeUnavailable;
    }
  }

  async #endJob(
    job: JobId,
    access: JobAccess,
    response: JobResponse,
  ): Promise<ErrorAnswer | undefined> {
    const { partitions, logger } = this.#options;
    const found = await this.#findJob(job, access);
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
   * Returns the job, or the error answer if the job does not exist for the caller or the store is
   * unavailable.
   */
  async #findJob(
    job: JobId,
    { workspace, routeId, host, isKeyMissing }: JobAccess,
  ): Promise<JobState | ErrorAnswer> {
    const partition = this.#options.partitions.forJob(job);
    let state = partition.job(job);
    if (!state) {
      // A caller without a key must not cost a read of the store with each call; it can only have
      // a job of a public route that was removed.
      const isRead = isKeyMissing
        ? await partition.refresh()
        : await partition.catchUp();
      if (!isRead) return storeUnavailable;
      state = partition.job(job);
    }
    if (!state || state.record.workspace !== workspace) return unknownJob;
    if (routeId === undefined && state.record.host !== host) return unknownJob;
    return state;
  }
}
