/**
 * Asks the instance that admits the jobs of a workspace on a route. It is chosen by rendezvous
 * hashing among the live instances, so that one instance decides on all jobs which share a limit.
 * If it does not reply, the next one is asked, and finally this instance decides by its own copy
 * of the job partitions.
 */

import * as z from "zod/mini";
import { rankByRendezvous } from "../common/hashing.ts";
import type { InstanceId, JobId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { definePeerMessage } from "../protocol/peer-message.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { StoreUnavailableError } from "../store/keyed-store.ts";
import { admissionTimeoutMilliseconds } from "./constants.ts";
import type { JobPartitions } from "./job-partition.ts";
import {
  accountKey,
  type RecordedTokens,
  type TokenDecision,
  type TokenDemand,
  WaitingTokens,
} from "./waiting-tokens.ts";

const demandSchema = z.object({
  job: z.string(),
  workspace: z.nullish(z.string()),
  route: z.string(),
  tokens: z.number(),
  maximumTokens: z.number(),
});
const decisionSchema = z.discriminatedUnion("isAdmitted", [
  z.object({ isAdmitted: z.literal(true) }),
  z.object({
    isAdmitted: z.literal(false),
    waitingTokens: z.number(),
    retryAfterMilliseconds: z.number().check(z.nonnegative()),
  }),
]);

function parseDemand(body: unknown): TokenDemand {
  const demand = demandSchema.parse(body);
  return {
    ...demand,
    workspace: demand.workspace ?? undefined,
  } as unknown as TokenDemand;
}

/** Asks for the admission of a job; the receiver reserves its tokens. */
export const reserveTokensMessage = definePeerMessage<
  TokenDemand,
  TokenDecision
>(
  "reserve-tokens",
  parseDemand,
  (body) => decisionSchema.parse(body),
);

/** Withdraws the reservation of a job that was not written. */
export const releaseTokensMessage = definePeerMessage<TokenDemand>(
  "release-tokens",
  parseDemand,
);

export interface JobAdmissionOptions {
  readonly instance: InstanceId;
  readonly network: PeerNetwork;
  readonly partitions: JobPartitions;
  /** Live instances that hold copies of the job partitions, including this one. */
  readonly candidates: () => readonly InstanceId[];
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly logger: Logger;
}

/** How many other instances are asked before this instance decides by itself. */
const maximumAskedInstances = 2;

export class JobAdmission {
  readonly #options: JobAdmissionOptions;
  readonly #tokens = new WaitingTokens();

  constructor(options: JobAdmissionOptions) {
    this.#options = options;
    options.network.handle(
      reserveTokensMessage,
      (demand) => this.#decide(demand),
    );
    options.network.handle(releaseTokensMessage, (demand) => {
      this.#tokens.release(demand);
      return null;
    });
  }

  /**
   * Returns the decision of the responsible instance; the tokens of an admitted job are reserved.
   * Throws StoreUnavailableError if no instance knows all jobs.
   */
  async reserve(demand: TokenDemand): Promise<TokenDecision> {
    if (demand.maximumTokens === 0) return { isAdmitted: true };
    const { instance, network, logger } = this.#options;
    for (
      const candidate of this.#rank(demand).slice(0, maximumAskedInstances)
    ) {
      if (candidate === instance) break;
      try {
        return await network.request(candidate, reserveTokensMessage, demand, {
          deadlineMilliseconds: admissionTimeoutMilliseconds,
        });
      } catch (error) {
        logger.warn("an instance did not decide on the admission of a job", {
          job: demand.job,
          peer: candidate,
          reason: String(error),
        });
      }
    }
    return await this.#decide(demand);
  }

  /** Withdraws the reservation of a job that was not written. */
  release(demand: TokenDemand): void {
    if (demand.maximumTokens === 0) return;
    const { instance, network } = this.#options;
    this.#tokens.release(demand);
    const [home] = this.#rank(demand);
    if (home !== undefined && home !== instance) {
      network.send(home, releaseTokensMessage, demand);
    }
  }

  #rank({ workspace, route }: TokenDemand): InstanceId[] {
    return rankByRendezvous(
      accountKey(workspace, route),
      this.#options.candidates(),
    );
  }

  async #decide(demand: TokenDemand): Promise<TokenDecision> {
    // Jobs that have not been read yet would not be counted.
    for (const partition of this.#options.partitions.all()) {
      if (partition.isLoaded || await partition.catchUp()) continue;
      throw new StoreUnavailableError("the jobs cannot be read", {
        mayHaveTakenEffect: false,
      });
    }
    return this.#tokens.reserve(
      demand,
      this.#sumRecorded(demand),
      this.#options.now(),
    );
  }

  #sumRecorded({ workspace, route }: TokenDemand): RecordedTokens {
    const { partitions } = this.#options;
    let waiting = 0;
    let finished = 0;
    for (const partition of partitions.all()) {
      for (const state of partition.state.jobs()) {
        const { record } = state;
        if (record.workspace !== workspace || record.route !== route) continue;
        finished += state.finishedTokens;
        if (!state.isEnded) waiting += state.totalTokens - state.finishedTokens;
      }
    }
    const isRecorded = (job: JobId) =>
      partitions.forJob(job).job(job) !== undefined;
    return { waiting, finished, isRecorded };
  }
}
