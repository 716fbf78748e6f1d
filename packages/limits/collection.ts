/**
 * Collects tokens from the holders for the waiting requests of one workspace. Tokens are used
 * as soon as enough are there; what remains is kept in the own bucket or returned.
 */

import type { Clock } from "../common/clock.ts";
import type { InstanceId } from "../common/ids.ts";
import { delay, type Timers } from "../common/timers.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { deposit, refill, room, spend } from "./bucket.ts";
import {
  minimumRefusalMilliseconds,
  overloadMemoryMilliseconds,
  patienceMilliseconds,
  slowHolderMilliseconds,
  suspectMilliseconds,
  tokenQuantum,
  transferDeadlineMilliseconds,
} from "./constants.ts";
import { shareOf } from "./holders.ts";
import { collectMessage, settleMessage } from "./messages.ts";
import type { WorkspaceEntry } from "./workspace-entry.ts";

export interface CollectionContext {
  readonly instance: InstanceId;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly timers: Timers;
  readonly isFresh: () => boolean;
  /** Monotonic milliseconds until which a holder that failed to answer is asked last. */
  readonly suspects: Map<InstanceId, number>;
}

/** Tokens of one transfer that have not been used. */
interface CollectedPart {
  readonly holder: InstanceId;
  readonly transfer: number;
  readonly expiresAt: number;
  amount: number;
}

export function floorToQuantum(amount: number): number {
  return Math.floor(amount / tokenQuantum) * tokenQuantum;
}

export class Collection {
  readonly #context: CollectionContext;
  readonly #entry: WorkspaceEntry;
  #parts: CollectedPart[] = [];
  #isOver = false;

  constructor(context: CollectionContext, entry: WorkspaceEntry) {
    this.#context = context;
    this.#entry = entry;
  }

  /** Serves the waiting requests as far as tokens can be had, and refuses the others. */
  async run(): Promise<void> {
    const entry = this.#entry;
    const startedAt = this.#now();
    const isOverloaded =
      startedAt - entry.lastRefusalAt < overloadMemoryMilliseconds;
    const patientUntil = startedAt + (isOverloaded ? 0 : patienceMilliseconds);
    for (;;) {
      if (await this.#askAll(true)) break;
      if (this.#estimatedTotal() >= 1 && await this.#askAll(false)) break;
      const rate = this.#ratePerMillisecond();
      const total = this.#estimatedTotal();
      const patience = patientUntil - this.#now();
      const servable = Math.floor(total + rate * patience);
      if (patience <= 0 || servable < 1 || !this.#context.isFresh()) break;
      this.#refuse(servable);
      const missing = Math.max(0, 1 - total);
      await delay(
        this.#context.timers,
        Math.min(patience, Math.max(2, Math.ceil(missing / rate))),
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

  #finish(): void {
    const entry = this.#entry;
    this.#isOver = true;
    if (entry.waiting.length > 0) this.#refuse(0);
    else entry.consecutiveShortages = 0;
    for (const part of this.#parts) this.#giveBack(part);
    this.#parts = [];
  }

  /** Refuses the requests behind the first ones. */
  #refuse(keep: number): void {
    const entry = this.#entry;
    const refused = entry.waiting.splice(keep);
    if (refused.length === 0) return;
    const now = this.#now();
    const rate = this.#ratePerMillisecond();
    if (keep === 0 && rate > 0) {
      const burst = entry.allocation.limit?.burst ?? 0;
      // Doubling spares the holders under overload; half the time to fill the buckets again
      // keeps the tokens generated meanwhile from being lost.
      const longest = Math.min(250, 0.5 * burst / rate);
      const first = Math.max(0, 1 - this.#estimatedTotal()) / rate;
      const doubled = first * 2 ** Math.min(10, entry.consecutiveShortages);
      entry.refuseUntil = now +
        Math.max(minimumRefusalMilliseconds, Math.min(longest, doubled));
      entry.consecutiveShortages += 1;
    }
    entry.lastRefusalAt = now;
    for (const resolve of refused) resolve(false);
  }

  /** Asks one holder after the other; returns whether no request is waiting any more. */
  async #askAll(whole: boolean): Promise<boolean> {
    if (this.#distribute()) return true;
    if (whole && this.#capacityPerHolder() < 1) return false;
    for (const holder of this.#holdersByLevel()) {
      await this.#ask(holder, whole);
      if (this.#distribute()) return true;
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

  /** Tokens collected, in the own bucket and believed to be at the other holders. */
  #estimatedTotal(): number {
    const { holders } = this.#entry.allocation;
    let total = this.#collected() + this.#localLevel();
    for (const holder of holders) {
      if (holder === this.#context.instance || this.#isSuspect(holder)) {
        continue;
      }
      total += this.#estimatedLevel(holder);
    }
    return total;
  }

  #localLevel(): number {
    this.#entry.bucket = refill(this.#entry.bucket, this.#now());
    return Math.max(0, this.#entry.bucket.level);
  }

  #collected(): number {
    const now = this.#now();
    this.#parts = this.#parts.filter((part) => part.expiresAt > now);
    return this.#parts.reduce((sum, part) => sum + part.amount, 0);
  }

  async #ask(holder: InstanceId, whole: boolean): Promise<void> {
    const { network, suspects, timers } = this.#context;
    const entry = this.#entry;
    const available = this.#collected() + (whole ? 0 : this.#localLevel());
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
      { workspace: entry.id, amount, whole },
      { deadlineMilliseconds: transferDeadlineMilliseconds },
    ).then((answer) => {
      const now = this.#now();
      entry.knownLevels.set(holder, { level: answer.level, at: now });
      suspects.delete(holder);
      if (answer.amount <= 0 || now >= expiresAt) return;
      const { transfer, amount } = answer;
      const part = { holder, transfer, expiresAt, amount };
      if (this.#isOver) this.#giveBack(part);
      else this.#parts.push(part);
    }, markSuspect);
    // The answer of a slow holder still counts when it arrives before the deadline.
    let cancelTimer = () => {};
    const slow = new Promise<void>((resolve) => {
      cancelTimer = timers.after(
        wasSuspect ? 0 : slowHolderMilliseconds,
        () => {
          markSuspect();
          resolve();
        },
      );
    });
    await Promise.race([reply, slow]);
    cancelTimer();
  }

  /** Admits waiting requests with the tokens at hand; true if none is left waiting. */
  #distribute(): boolean {
    const { waiting } = this.#entry;
    while (waiting.length > 0) {
      // Checked in the same turn as the admission: the process may have been paused.
      if (!this.#context.isFresh()) return false;
      if (this.#collected() + this.#localLevel() < 1) return false;
      this.#useOne();
      waiting.shift()?.(true);
    }
    return true;
  }

  #useOne(): void {
    let missing = 1;
    while (missing > 0) {
      const part = this.#parts[0];
      if (!part) break;
      const used = Math.min(part.amount, missing);
      part.amount -= used;
      missing -= used;
      if (part.amount > 0) break;
      this.#parts.shift();
      this.#settle(part, 0);
    }
    if (missing > 0) this.#entry.bucket = spend(this.#entry.bucket, missing);
  }

  #giveBack(part: CollectedPart): void {
    const now = this.#now();
    const bucket = refill(this.#entry.bucket, now);
    const kept = part.expiresAt > now ? Math.min(room(bucket), part.amount) : 0;
    this.#entry.bucket = deposit(bucket, kept);
    this.#settle(part, part.amount - kept);
  }

  #settle(part: CollectedPart, refund: number): void {
    this.#context.network.send(part.holder, settleMessage, {
      workspace: this.#entry.id,
      transfer: part.transfer,
      refund,
    });
  }
}
