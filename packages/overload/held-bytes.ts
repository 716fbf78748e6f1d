/**
 * The budget of all bytes that an instance holds for others: request bodies, answers that callers
 * read slowly, answers of servers that are held back, calls on jobs and large frames of peers.
 * Bytes are reserved before they are buffered; disposing of a holding releases them.
 */

import { DisposableStore } from "../common/disposable-store.ts";
import type { ClientId } from "../common/ids.ts";
import {
  maximumWaitingHoldings,
  maximumWaitMilliseconds,
  sweepIntervalMilliseconds,
} from "./constants.ts";
import {
  chooseEviction,
  countedBytes,
  largestClientOf,
  mayGrow,
} from "./holding-rules.ts";

/** What the bytes are; one large holding of each kind may always grow. */
export type HoldingKind =
  | "request_body"
  | "response"
  | "server_answer"
  | "job_call"
  | "job_bodies"
  | "body_load"
  | "item_output"
  | "job_results"
  | "store_response"
  | "peer_frame"
  | "peer_reply";

/** Kinds that are charged but not refused: what they hold is needed, or has been computed. */
const keptKinds: ReadonlySet<HoldingKind> = new Set([
  "job_bodies",
  "item_output",
  "job_results",
  "store_response",
]);
/** Kinds that are held as text rather than in buffers. */
const textKinds: ReadonlySet<HoldingKind> = new Set([
  "item_output",
  "job_results",
]);

/** `no_room`: the budget is exhausted. `stalled`: no progress for too long. */
export type EvictionReason = "no_room" | "stalled";

export interface HoldingOptions {
  readonly kind: HoldingKind;
  readonly client: ClientId;
}

/** Makes a holding one that can be evicted, until it is complete. */
export interface TrackingOptions {
  readonly evict: (reason: EvictionReason) => void;
  /** Longest time without progress, whether or not the budget is exhausted. */
  readonly idleMilliseconds: number;
}

export interface HeldBytesOptions {
  readonly limitBytes: number;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
  readonly isMemoryTight?: () => boolean;
  /** Called when a holding cannot grow although none could the last time that all could. */
  readonly onExhausted?: (
    state: HeldBytesState,
    largestClient: ClientId | undefined,
  ) => void;
  readonly onEviction?: (kind: HoldingKind, reason: EvictionReason) => void;
}

export interface HeldBytesState {
  readonly heldBytes: number;
  /** Those of them that are not refused. */
  readonly keptBytes: number;
  /** Those of them that are in buffers; the others are text. */
  readonly bufferBytes: number;
  readonly limitBytes: number;
  readonly waitingHoldings: number;
  readonly isMemoryTight: boolean;
}

const millisecondsPerSecond = 1_000;

export class HeldBytes implements AsyncDisposable {
  readonly #options: Required<HeldBytesOptions>;
  readonly #disposables = new DisposableStore();
  readonly #tracked = new Set<Holding>();
  readonly #waiting = new Set<Holding>();
  /** The holding of each kind that may grow although the budget is exhausted. */
  readonly #leaders = new Map<HoldingKind, Holding>();
  /** Shared by all holdings, since one is opened for each request with a body. */
  readonly #holdingBudget: HoldingBudget;
  #heldBytes = 0;
  #keptBytes = 0;
  #textBytes = 0;
  #isExhausted = false;

  constructor(options: HeldBytesOptions) {
    this.#options = {
      now: () => performance.now(),
      isMemoryTight: () => false,
      onExhausted: () => {},
      onEviction: () => {},
      ...options,
    };
    this.#holdingBudget = {
      now: this.#options.now,
      tryGrow: (holding, bytes) => this.#tryGrow(holding, bytes),
      change: (holding, bytes) => {
        this.#heldBytes += bytes;
        if (holding.isKept) this.#keptBytes += bytes;
        if (holding.isText) this.#textBytes += bytes;
      },
      setTracked: (holding, isTracked) => {
        if (isTracked) this.#tracked.add(holding);
        else if (this.#tracked.delete(holding)) this.#waiting.delete(holding);
      },
      wait: (holding) => this.#wait(holding),
      remove: (holding) => this.#remove(holding),
    };
  }

  get state(): HeldBytesState {
    return {
      heldBytes: this.#heldBytes,
      keptBytes: this.#keptBytes,
      bufferBytes: this.#heldBytes - this.#textBytes,
      limitBytes: this.#options.limitBytes,
      waitingHoldings: this.#waiting.size,
      isMemoryTight: this.#options.isMemoryTight(),
    };
  }

  start(): void {
    this.#disposables.addInterval(
      () => this.sweep(),
      sweepIntervalMilliseconds,
    );
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#disposables.dispose();
  }

  /** Opens a holding without bytes. */
  open(options: HoldingOptions): Holding {
    return new Holding(options, this.#holdingBudget);
  }

  /** Opens a holding with bytes; undefined if the budget has no room for them. */
  tryHold(options: HoldingOptions, bytes: number): Holding | undefined {
    const holding = this.open(options);
    if (holding.tryGrow(bytes)) return holding;
    holding.dispose();
    return undefined;
  }

  /** Evicts the slowest holding without progress; returns false if there is none. */
  evictStalled(): boolean {
    return this.#evictOne();
  }

  /** Evicts holdings without progress and those that wait for too long, and resumes others. */
  sweep(): void {
    const now = this.#options.now();
    for (const holding of [...this.#tracked]) {
      holding.measure(now, sweepIntervalMilliseconds / millisecondsPerSecond);
      if (holding.isWaiting) {
        if (holding.waitedMilliseconds(now) > maximumWaitMilliseconds) {
          this.#evict(holding, "no_room");
        }
      } else if (now - holding.lastProgressAt > holding.idleMilliseconds) {
        this.#evict(holding, "stalled");
      }
    }
    this.#resumeWaiting();
    while (this.#waiting.size > 0 && this.#evictOne()) this.#resumeWaiting();
    if (this.#waiting.size === 0) this.#isExhausted = false;
  }

  #tryGrow(holding: Holding, bytes: number): boolean {
    if (this.#hasRoom(holding, bytes)) return true;
    this.#reportExhausted();
    const { client } = holding;
    // What is evicted stays resident until the next garbage collection, so that evictions do not
    // help at once if memory is tight.
    while (
      !this.#options.isMemoryTight() &&
      this.#evictOne({ holding, client, requestedBytes: bytes })
    ) {
      if (this.#hasRoom(holding, bytes)) return true;
    }
    // Without this, holdings that wait for each other's bytes would all wait forever.
    const leader = this.#leaders.get(holding.kind);
    if (leader && leader !== holding) return false;
    this.#leaders.set(holding.kind, holding);
    return true;
  }

  #hasRoom(holding: Holding, bytes: number): boolean {
    const { limitBytes } = this.#options;
    return mayGrow({
      limitBytes,
      heldBytes: countedBytes({
        limitBytes,
        heldBytes: this.#heldBytes,
        keptBytes: this.#keptBytes,
      }),
      ownBytes: holding.bytes,
      requestedBytes: bytes,
      isMemoryTight: this.#options.isMemoryTight(),
    });
  }

  #wait(holding: Holding): void {
    if (this.#waiting.size >= maximumWaitingHoldings) {
      this.#evict(holding, "no_room");
      return;
    }
    this.#waiting.add(holding);
  }

  /** Resumes the holdings that have waited longest, as far as the budget goes. */
  #resumeWaiting(): void {
    for (const holding of [...this.#waiting]) {
      const bytes = holding.requestedBytes;
      const leader = this.#leaders.get(holding.kind);
      if (!this.#hasRoom(holding, bytes)) {
        if (leader) continue;
        this.#leaders.set(holding.kind, holding);
      }
      this.#waiting.delete(holding);
      holding.grant();
    }
  }

  #evictOne(
    requester?: {
      holding: Holding;
      client: ClientId;
      requestedBytes: number;
    },
  ): boolean {
    const victim = chooseEviction({
      candidates: [...this.#tracked].filter((candidate) =>
        candidate !== requester?.holding
      ),
      now: this.#options.now(),
      requester,
      limitBytes: this.#options.limitBytes,
    });
    if (!victim) return false;
    this.#evict(victim, "no_room");
    return true;
  }

  #evict(holding: Holding, reason: EvictionReason): void {
    this.#options.onEviction(holding.kind, reason);
    holding.evict(reason);
  }

  #remove(holding: Holding): void {
    this.#tracked.delete(holding);
    this.#waiting.delete(holding);
    if (this.#leaders.get(holding.kind) === holding) {
      this.#leaders.delete(holding.kind);
    }
    if (this.#waiting.size > 0) setImmediate(() => this.#resumeWaiting());
  }

  #reportExhausted(): void {
    if (this.#isExhausted) return;
    this.#isExhausted = true;
    this.#options.onExhausted(this.state, largestClientOf(this.#tracked));
  }
}

/** What a holding needs of the budget that it belongs to. */
interface HoldingBudget {
  readonly now: () => number;
  readonly tryGrow: (holding: Holding, bytes: number) => boolean;
  readonly change: (holding: Holding, bytes: number) => void;
  readonly setTracked: (holding: Holding, isTracked: boolean) => void;
  readonly wait: (holding: Holding) => void;
  readonly remove: (holding: Holding) => void;
}

/** Bytes that are held for one client. Disposing of it twice has the effect of doing so once. */
export class Holding implements Disposable {
  readonly kind: HoldingKind;
  readonly client: ClientId;
  readonly isKept: boolean;
  readonly isText: boolean;
  readonly #budget: HoldingBudget;
  #bytes = 0;
  #tracking: TrackingOptions | undefined;
  #onGranted: (() => void) | undefined;
  #isDisposed = false;
  #progressBytes = 0;
  #waitingSince = 0;
  #endedWaitMilliseconds = 0;
  requestedBytes = 0;
  lastProgressAt = 0;
  bytesPerSecond = 0;

  constructor({ kind, client }: HoldingOptions, budget: HoldingBudget) {
    this.kind = kind;
    this.client = client;
    this.isKept = keptKinds.has(kind);
    this.isText = textKinds.has(kind);
    this.#budget = budget;
  }

  get bytes(): number {
    return this.#bytes;
  }

  get isWaiting(): boolean {
    return this.#onGranted !== undefined;
  }

  get idleMilliseconds(): number {
    return this.#tracking?.idleMilliseconds ?? Number.POSITIVE_INFINITY;
  }

  /** Reserves further bytes; returns false if the budget has no room for them. */
  tryGrow(bytes: number): boolean {
    if (this.#isDisposed) return false;
    if (!this.#budget.tryGrow(this, bytes)) return false;
    this.resize(this.#bytes + bytes);
    return true;
  }

  /** Reserves further bytes that have to be kept even if the budget has no room for them. */
  grow(bytes: number): void {
    if (!this.tryGrow(bytes)) this.resize(this.#bytes + bytes);
  }

  /** Sets the size without asking, for bytes that are already buffered. */
  resize(bytes: number): void {
    if (this.#isDisposed) return;
    this.#budget.change(this, bytes - this.#bytes);
    this.#bytes = bytes;
  }

  /** Calls the listener once the bytes are reserved; the holding may be evicted instead. */
  waitFor(bytes: number, onGranted: () => void): void {
    if (this.#isDisposed) return;
    this.requestedBytes = bytes;
    this.#waitingSince = this.#budget.now();
    this.#onGranted = onGranted;
    this.#budget.wait(this);
  }

  /** All time that the holding has waited so far. */
  waitedMilliseconds(now: number): number {
    return this.#endedWaitMilliseconds + now - this.#waitingSince;
  }

  /** Called by the budget when the bytes that the holding waits for are reserved. */
  grant(): void {
    const onGranted = this.#onGranted;
    this.#onGranted = undefined;
    const now = this.#budget.now();
    this.#endedWaitMilliseconds = this.waitedMilliseconds(now);
    this.lastProgressAt = now;
    this.resize(this.#bytes + this.requestedBytes);
    onGranted?.();
  }

  /** From now on the holding can be evicted. */
  track(options: TrackingOptions): void {
    if (this.#isDisposed) return;
    this.#tracking = options;
    this.lastProgressAt = this.#budget.now();
    this.#budget.setTracked(this, true);
  }

  /** From now on the holding cannot be evicted and waits for nothing. */
  untrack(): void {
    this.#tracking = undefined;
    this.#onGranted = undefined;
    this.#budget.setTracked(this, false);
  }

  recordProgress(bytes: number): void {
    this.#progressBytes += bytes;
  }

  /** Called by the budget at an interval: what counts is progress since the last call. */
  measure(now: number, seconds: number): void {
    if (this.#progressBytes > 0) this.lastProgressAt = now;
    this.bytesPerSecond = this.#progressBytes / seconds;
    this.#progressBytes = 0;
  }

  evict(reason: EvictionReason): void {
    const evict = this.#tracking?.evict;
    this.dispose();
    evict?.(reason);
  }

  dispose(): void {
    if (this.#isDisposed) return;
    this.resize(0);
    this.#isDisposed = true;
    this.#onGranted = undefined;
    this.#tracking = undefined;
    this.#budget.remove(this);
  }

  [Symbol.dispose](): void {
    this.dispose();
  }
}
