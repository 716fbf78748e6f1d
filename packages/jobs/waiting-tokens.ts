/**
 * Admits batch jobs by the tokens that already wait. A route may limit the tokens of all accepted
 * items of one workspace that have no result yet. The instance that decides for a workspace and
 * route reads the recorded jobs and keeps a reservation for each job that it has admitted and not
 * yet read back. Jobs that are submitted at many instances in the same moment therefore cannot
 * exceed the limit together.
 */

import type { JobId, RouteId, WorkspaceId } from "../common/ids.ts";
import {
  drainRateWindowMilliseconds,
  maximumTokenRetryAfterMilliseconds,
  minimumTokenRetryAfterMilliseconds,
  tokenReservationMilliseconds,
} from "./constants.ts";

/** A job whose tokens are to be admitted. */
export interface TokenDemand {
  readonly job: JobId;
  readonly workspace: WorkspaceId | undefined;
  readonly route: RouteId;
  /** Tokens of all items of the job. */
  readonly tokens: number;
  /** Largest number of waiting tokens of the workspace on the route; 0 for no limit. */
  readonly maximumTokens: number;
}

/** What the recorded jobs of the workspace on the route add up to. */
export interface RecordedTokens {
  /** Tokens of the items without a result, except those of ended jobs. */
  readonly waiting: number;
  /** Tokens of the items that have a result. */
  readonly finished: number;
  /** Whether the job is among the recorded ones. */
  isRecorded(job: JobId): boolean;
}

export type TokenDecision =
  | { readonly isAdmitted: true }
  | {
    readonly isAdmitted: false;
    /** Tokens that wait or are reserved, without those of the refused job. */
    readonly waitingTokens: number;
    /** Estimated time until the job fits. */
    readonly retryAfterMilliseconds: number;
  };

interface Reservation {
  readonly tokens: number;
  readonly expiresAt: number;
}

interface FinishedSample {
  readonly time: number;
  readonly finished: number;
}

interface TokenAccount {
  readonly reservations: Map<JobId, Reservation>;
  /** Finished tokens at the times of recent decisions, oldest first. */
  readonly samples: FinishedSample[];
}

export class WaitingTokens {
  readonly #accounts = new Map<string, TokenAccount>();

  /** Decides on a job and reserves its tokens if it is admitted. `now` is monotonic. */
  reserve(
    demand: TokenDemand,
    recorded: RecordedTokens,
    now: number,
  ): TokenDecision {
    if (demand.maximumTokens === 0) return { isAdmitted: true };
    const account = this.#accountOf(demand);
    const reserved = sumReservations(account, demand.job, recorded, now);
    addSample(account.samples, { time: now, finished: recorded.finished });
    const waitingTokens = recorded.waiting + reserved;
    const excess = waitingTokens + demand.tokens - demand.maximumTokens;
    if (excess > 0 && !recorded.isRecorded(demand.job)) {
      return {
        isAdmitted: false,
        waitingTokens,
        retryAfterMilliseconds: timeUntilDrained(excess, account.samples),
      };
    }
    account.reservations.set(demand.job, {
      tokens: demand.tokens,
      expiresAt: now + tokenReservationMilliseconds,
    });
    return { isAdmitted: true };
  }

  /** Drops the reservation of a job that was not written to the store. */
  release({ job, workspace, route }: TokenDemand): void {
    this.#accounts.get(accountKey(workspace, route))?.reservations.delete(job);
  }

  #accountOf({ workspace, route }: TokenDemand): TokenAccount {
    const key = accountKey(workspace, route);
    let account = this.#accounts.get(key);
    if (!account) {
      account = { reservations: new Map(), samples: [] };
      this.#accounts.set(key, account);
    }
    return account;
  }
}

/** Identifies the jobs that share one limit. */
export function accountKey(
  workspace: WorkspaceId | undefined,
  route: RouteId,
): string {
  return `${workspace ?? ""}\n${route}`;
}

/** Sums the live reservations of other jobs and drops those that are recorded or expired. */
function sumReservations(
  { reservations }: TokenAccount,
  ownJob: JobId,
  recorded: RecordedTokens,
  now: number,
): number {
  let sum = 0;
  for (const [job, { tokens, expiresAt }] of reservations) {
    if (recorded.isRecorded(job) || now > expiresAt) reservations.delete(job);
    else if (job !== ownJob) sum += tokens;
  }
  return sum;
}

function addSample(samples: FinishedSample[], sample: FinishedSample): void {
  samples.push(sample);
  const oldest = sample.time - drainRateWindowMilliseconds;
  while (samples.length > 2 && samples[1]!.time <= oldest) samples.shift();
}

/** Time in which the excess is worked off at the rate of the last seconds, within bounds. */
function timeUntilDrained(
  excess: number,
  samples: readonly FinishedSample[],
): number {
  const first = samples[0]!;
  const last = samples.at(-1)!;
  const elapsed = last.time - first.time;
  const drained = last.finished - first.finished;
  const milliseconds = drained > 0
    ? excess * elapsed / drained
    : maximumTokenRetryAfterMilliseconds;
  return Math.min(
    Math.max(milliseconds, minimumTokenRetryAfterMilliseconds),
    maximumTokenRetryAfterMilliseconds,
  );
}
