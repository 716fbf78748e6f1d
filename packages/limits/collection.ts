/**
 * Collects tokens from other holders for the waiting requests of one workspace. A request is
 * admitted as soon as a whole token is available for it; tokens that remain are added to the
 * instance's own bucket or returned to their holder.
 */

import type { Clock } from "../common/clock.ts";
import type { InstanceId } from "../common/ids.ts";
import { delay, type Timers } from "../common/timers.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { deposit, freeCapacity, spend } from "./bucket.ts";
import {
  maximumRefusalPeriodMilliseconds,
  maximumTokenWaitMilliseconds,
  minimumRefusalPeriodMilliseconds,
  minimumRoundPauseMilliseconds,
  minimumTokenWaitMilliseconds,
  overloadShortageCount,
  shortageExpiryMilliseconds,
  slowHolderMilliseconds,
  suspectMilliseconds,
  transferDeadlineMilliseconds,
} from "./constants.ts";
import { shareOf } from "./holders.ts";
import { collectMessage, settleMessage } from "./messages.ts";
import {
  refillEntry,
  type WaitingRequest,
  type WorkspaceEntry,
} from "./workspace-entry.ts";

export interface CollectionContext {
  readonly instance: InstanceId;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly timers: Timers;
  readonly isFresh: () => boolean;
  /** Monotonic milliseconds until which a holder that did not answer in time is asked last. */
  readonly suspects: Map<InstanceId, number>;
}

/** Unused tokens of one transfer from a holder. */
interface CollectedTokens {
  readonly holder: InstanceId;
  readonly transfer: number;
  readonly expiresAt: number;
  amount: number;
}

/** Longest time that a request of the workspace may wait for its token, in milliseconds. */
export function tokenWaitMilliseconds(entry: WorkspaceEntry): number {
  const rate = entry.allocation.limit?.ratePerSecond ?? 0;
  return Math.max(
    minimumTokenWaitMilliseconds,
    Math.min(maximumTokenWaitMilliseconds, rate > 0 ? 2_000 / rate : 0),
  );
}

export class Collection {
  readonly #context: CollectionContext;
  readonly #entry: WorkspaceEntry;
  #collected: CollectedTokens[] = [];
  #hasEnded = false;

  constructor(context: CollectionContext, entry: WorkspaceEntry) {
    this.#context = context;
    this.#entry = entry;
  }

  /**
   * Admits waiting requests while tokens can be collected within their waiting time, and refuses
   * the others. Each round asks for whole tokens first and then for fractions that add up to one.
   */
  async run(): Promise<void> {
    const entry = this.#entry;
    for (;;) {
      if (await this.#askAll(true)) break;
      if (this.#estimatedTotal() >= 1 && await this.#askAll(false)) break;
      const rate = this.#ratePerMillisecond();
      const total = this.#estimatedTotal();
      const longestWait = this.#isOverloaded()
        ? 0
        : tokenWaitMilliseconds(entry);
      const servable = Math.floor(total + rate * longestWait);
      if (servable < 1 || longestWait === 0 || !this.#context.isFresh()) break;
      this.#refuse(entry.waiting.splice(servable));
      this.#refuseOlderThan(longestWait);
      const oldest = entry.waiting[0];
      if (!oldest) break;
      const remainingWait = oldest.since + longestWait - this.#now();
      // Returns fractions while waiting: if several instances each held a part of a token, none
      // of them could admit a request.
      this.#returnAll();
      const untilNextToken = Math.ceil(Math.max(0, 1 - total) / rate);
      await delay(
        this.#context.timers,
        Math.max(
          minimumRoundPauseMilliseconds,
          Math.min(remainingWait, untilNextToken),
        ),
      );
    }
    this.#finish();
  }

  #now(): number {
    return this.#context.clock.monotonicNow();
  }

  #ratePerMillisecond(): number {
    return (this.#entry.allocation.limit?.ratePerSecond ?? 0) / 1_000;
  }

  #isOverloaded(): boolean {
    const { consecutiveShortages, lastRefusalAt } = this.#entry;
    return consecutiveShortages >= overloadShortageCount &&
      this.#now() - lastRefusalAt < shortageExpiryMilliseconds;
  }

  #finish(): void {
    const entry = this.#entry;
    this.#hasEnded = true;
    this.#refuse(entry.waiting.splice(0));
    this.#returnAll();
  }

  #returnAll(): void {
    for (const tokens of this.#collected) this.#returnTokens(tokens);
    this.#collected = [];
  }

  /**
   * Refuses the requests, and starts a period in which new requests are refused without asking
   * the holders. The period doubles with each consecutive shortage.
   */
  #refuse(requests: readonly WaitingRequest[]): void {
    if (requests.length === 0) return;
    const entry = this.#entry;
    const now = this.#now();
    const rate = this.#ratePerMillisecond();
    if (rate > 0 && now >= entry.refuseUntil) {
      const burst = entry.allocation.limit?.burst ?? 0;
      // Doubling reduces the requests to the holders under overload. The limit of half the time
      // that refills the whole burst keeps tokens from being lost at full buckets meanwhile.
      const longest = Math.min(
        maximumRefusalPeriodMilliseconds,
        0.5 * burst / rate,
      );
      const first = Math.max(0, 1 - this.#estimatedTotal()) / rate;
      const doubled = first * 2 ** Math.min(10, entry.consecutiveShortages);
      entry.refuseUntil = now +
        Math.max(minimumRefusalPeriodMilliseconds, Math.min(longest, doubled));
      entry.consecutiveShortages += 1;
    }
    entry.lastRefusalAt = now;
    for (const { resolve } of requests) resolve(false);
  }

  #refuseOlderThan(longestWait: number): void {
    const { waiting } = this.#entry;
    const now = this.#now();
    const firstKeptIndex = waiting.findIndex(({ since }) =>
      now - since < longestWait
    );
    this.#refuse(
      waiting.splice(0, firstKeptIndex < 0 ? waiting.length : firstKeptIndex),
    );
  }

  /** Asks one holder after the other; returns whether all waiting requests were admitted. */
  async #askAll(whole: boolean): Promise<boolean> {
    if (this.#admitWaiting()) return true;
    if (whole && this.#capacityPerHolder() < 1) return false;
    for (const holder of this.#holdersByLevel()) {
      await this.#ask(holder, whole);
      if (this.#admitWaiting()) return true;
    }
    return false;
  }

  #capacityPerHolder(): number {
    const { limit, holders } = this.#entry.allocation;
    return shareOf(limit, holders).capacity;
  }

  #estimatedLevel(holder: InstanceId): number {
    const known = this.#entry.knownLevels.get(holder);
    const { limit, holders } = this.#entry.allocation;
    const share = shareOf(limit, holders);
    if (!known) return share.capacity;
    const generated = (this.#now() - known.at) * share.ratePerMillisecond;
    return Math.min(share.capacity, known.level + generated);
  }

  #isSuspect(holder: InstanceId): boolean {
    return (this.#context.suspects.get(holder) ?? 0) > this.#now();
  }

  #holdersByLevel(): InstanceId[] {
    return this.#entry.allocation.holders
      .filter((holder) => holder !== this.#context.instance)
      .map((holder) => ({
        holder,
        level: this.#estimatedLevel(holder) -
          (this.#isSuspect(holder) ? 1e9 : 0),
      }))
      .sort((left, right) => right.level - left.level)
      .map(({ holder }) => holder);
  }

  /** Tokens collected, tokens in the own bucket, and estimated tokens of the other holders. */
  #estimatedTotal(): number {
    const { holders } = this.#entry.allocation;
    let total = this.#collectedAmount() + this.#localLevel();
    for (const holder of holders) {
      if (holder === this.#context.instance || this.#isSuspect(holder)) {
        continue;
      }
      total += this.#estimatedLevel(holder);
    }
    return total;
  }

  #localLevel(): number {
    if (!this.#context.isFresh()) return 0;
    refillEntry(this.#entry, this.#now());
    return Math.max(0, this.#entry.bucket.level);
  }

  #freeCapacity(): number {
    return this.#context.isFresh() ? freeCapacity(this.#entry.bucket) : 0;
  }

  #collectedAmount(): number {
    const now = this.#now();
    this.#collected = this.#collected.filter((tokens) =>
      tokens.expiresAt > now
    );
    return this.#collected.reduce((sum, tokens) => sum + tokens.amount, 0);
  }

  async #ask(holder: InstanceId, whole: boolean): Promise<void> {
    const { network, suspects, timers } = this.#context;
    const entry = this.#entry;
    const available = this.#collectedAmount() +
      (whole ? 0 : this.#localLevel());
    const missing = entry.waiting.length - available;
    if (missing <= 0) return;
    const amount = whole ? Math.ceil(missing) : missing;
    const sentAt = this.#now();
    const expiresAt = sentAt + transferDeadlineMilliseconds;
    const wasSuspect = this.#isSuspect(holder);
    const markSuspect = () =>
      suspects.set(holder, this.#now() + suspectMilliseconds);
    const reply = network.request(
      holder,
      collectMessage,
      { workspace: entry.id, amount, whole, spare: this.#freeCapacity() },
      { deadlineMilliseconds: transferDeadlineMilliseconds },
    ).then((answer) => {
      const now = this.#now();
      entry.knownLevels.set(holder, { level: answer.level, at: now });
      suspects.delete(holder);
      if (answer.amount <= 0 || now >= expiresAt) return;
      const { transfer, amount } = answer;
      const tokens = { holder, transfer, expiresAt, amount };
      if (this.#hasEnded) this.#returnTokens(tokens);
      else this.#collected.push(tokens);
    }, markSuspect);
    // A response that arrives after this timeout but before the deadline is still used.
    let cancelTimer = () => {};
    const slowHolderTimeout = new Promise<void>((resolve) => {
      cancelTimer = timers.after(
        wasSuspect ? 0 : slowHolderMilliseconds,
        () => {
          markSuspect();
          resolve();
        },
      );
    });
    await Promise.race([reply, slowHolderTimeout]);
    cancelTimer();
  }

  /** Admits waiting requests with the tokens available; returns whether none is left waiting. */
  #admitWaiting(): boolean {
    const { waiting } = this.#entry;
    while (waiting.length > 0) {
      // Checked in the same turn of the event loop as the admission, since the process may have
      // been paused before.
      if (!this.#context.isFresh()) return false;
      if (this.#collectedAmount() + this.#localLevel() < 1) return false;
      this.#spendOneToken();
      waiting.shift()?.resolve(true);
      this.#recordAdmission();
    }
    return true;
  }

  /** Resets the count of shortages if no request was refused for some time. */
  #recordAdmission(): void {
    const entry = this.#entry;
    const sinceRefusal = this.#now() - entry.lastRefusalAt;
    if (sinceRefusal >= shortageExpiryMilliseconds) {
      entry.consecutiveShortages = 0;
    }
  }

  #spendOneToken(): void {
    let missing = 1;
    while (missing > 0) {
      const tokens = this.#collected[0];
      if (!tokens) break;
      const used = Math.min(tokens.amount, missing);
      tokens.amount -= used;
      missing -= used;
      if (tokens.amount > 0) break;
      this.#collected.shift();
      this.#settleTransfer(tokens, 0);
    }
    if (missing > 0) this.#entry.bucket = spend(this.#entry.bucket, missing);
  }

  #returnTokens(tokens: CollectedTokens): void {
    const now = this.#now();
    if (tokens.expiresAt <= now) return;
    let kept = 0;
    if (this.#context.isFresh()) {
      refillEntry(this.#entry, now);
      kept = Math.min(freeCapacity(this.#entry.bucket), tokens.amount);
      this.#entry.bucket = deposit(this.#entry.bucket, kept);
    }
    this.#settleTransfer(tokens, tokens.amount - kept);
  }

  #settleTransfer(tokens: CollectedTokens, refund: number): void {
    this.#context.network.send(tokens.holder, settleMessage, {
      workspace: this.#entry.id,
      transfer: tokens.transfer,
      refund,
    });
  }
}
