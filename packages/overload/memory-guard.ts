/**
 * Watches the resident memory of the process. Buffers that are no longer used stay resident until
 * the next garbage collection, which V8 may postpone for up to 96 MB of them: more than a small
 * machine has. Above a limit, garbage is collected at once; if many buffers are left, memory is
 * tight, and nothing large is read until some are released. The resident memory alone tells
 * nothing, since the allocator keeps released memory for the next buffers.
 */

import process from "node:process";
import { DisposableStore } from "../common/disposable-store.ts";
import {
  collectedGarbageBytes,
  collectionPauseMilliseconds,
  measuredReceivedBytes,
  measureIntervalMilliseconds,
} from "./constants.ts";

export interface MemoryGuardOptions {
  readonly collectionResidentBytes: number;
  readonly tightResidentBytes: number;
  /** The budget of held bytes, and how many are held in buffers at present. */
  readonly heldBytesLimit: number;
  readonly heldBytes: () => number;
  readonly memoryUsage?: () => MemoryUse;
  /** Does nothing unless the program runs with `--expose-gc`. */
  readonly collectGarbage?: () => void;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
}

export interface MemoryUse {
  /** Resident memory of the process. */
  readonly rss: number;
  /** Memory of all buffers, also of those that are garbage. */
  readonly arrayBuffers: number;
}

export class MemoryGuard implements AsyncDisposable {
  readonly #options: Required<MemoryGuardOptions>;
  readonly #disposables = new DisposableStore();
  #isTight = false;
  #receivedBytes = 0;
  #collectedAt = Number.NEGATIVE_INFINITY;
  collections = 0;

  constructor(options: MemoryGuardOptions) {
    this.#options = {
      memoryUsage: () => process.memoryUsage(),
      collectGarbage: () => globalThis.gc?.(),
      now: () => performance.now(),
      ...options,
    };
  }

  /** The resident memory is close to that of the machine, and not for garbage. */
  get isTight(): boolean {
    return this.#isTight;
  }

  start(): void {
    if (!Number.isFinite(this.#options.collectionResidentBytes)) return;
    this.#disposables.addInterval(
      () => this.measure(),
      measureIntervalMilliseconds,
    );
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#disposables.dispose();
  }

  /** Called for bytes that were read, or held for callers; all of them become garbage. */
  recordReceived(bytes: number): void {
    this.#receivedBytes += bytes;
    if (this.#receivedBytes >= measuredReceivedBytes) this.measure();
  }

  measure(): void {
    const { collectionResidentBytes, tightResidentBytes, heldBytesLimit } =
      this.#options;
    this.#receivedBytes = 0;
    if (collectionResidentBytes === Number.POSITIVE_INFINITY) return;
    let use = this.#options.memoryUsage();
    if (use.rss > collectionResidentBytes && this.#hasGarbage(use)) {
      this.#options.collectGarbage();
      this.#collectedAt = this.#options.now();
      this.collections += 1;
      use = this.#options.memoryUsage();
    }
    this.#isTight = use.rss > tightResidentBytes &&
      use.arrayBuffers > heldBytesLimit / 2;
  }

  #hasGarbage({ arrayBuffers }: MemoryUse): boolean {
    const { heldBytes, now } = this.#options;
    return arrayBuffers - heldBytes() > collectedGarbageBytes &&
      now() - this.#collectedAt >= collectionPauseMilliseconds;
  }
}
