/**
 * Reads the body of one request within the budget of held bytes. While the budget is exhausted,
 * the connection is not read; a body that makes no progress or finds no room ends the request,
 * which then has not run.
 */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { nextTick } from "node:process";
import { type BlockPool, BodyBuffer } from "../overload/body-buffer.ts";
import { blockBytes, uncountedBodyBytes } from "../overload/constants.ts";
import type { EvictionReason, Holding } from "../overload/held-bytes.ts";
import { createErrorAnswer, type ErrorAnswer } from "./error-answer.ts";
import { overloadedError } from "./request-errors.ts";

export interface CallerBodyOptions {
  readonly message: IncomingMessage;
  /** Opens a holding, which is disposed of with this body, once the request is over. */
  readonly openHolding: () => Holding;
  readonly blocks: BlockPool;
  readonly maximumBytes: number;
  /** Longest time without a further byte. */
  readonly idleMilliseconds: number;
  readonly onReceived: (bytes: number) => void;
  readonly onComplete: (body: Buffer) => void;
  /** The body is not read to its end; the connection is to be closed after the answer. */
  readonly onFailure: (answer: ErrorAnswer) => void;
}

export class CallerBody {
  readonly #options: CallerBodyOptions;
  readonly #buffer: BodyBuffer;
  /** Undefined for a chunked body, whose length is known at its end only. */
  readonly #declaredBytes: number | undefined;
  /** Undefined for a small body that arrived with its head. */
  #holding: Holding | undefined;
  #isOver = false;

  constructor(options: CallerBodyOptions) {
    this.#options = options;
    this.#buffer = new BodyBuffer(options.blocks);
    const length = options.message.headers["content-length"];
    this.#declaredBytes = length === undefined ? undefined : Number(length);
  }

  start(): void {
    const { message, maximumBytes } = this.#options;
    const declaredBytes = this.#declaredBytes;
    if ((declaredBytes ?? 0) > maximumBytes) return this.#failTooLarge();
    message.on("data", (chunk: Buffer) => this.#handleChunk(chunk));
    message.on("end", () => this.#handleEnd());
    if (declaredBytes === undefined || declaredBytes > uncountedBodyBytes) {
      return this.#reserve();
    }
    // By then the rest of the read that delivered the head has arrived as data.
    nextTick(() => {
      if (!this.#isOver && !this.#isComplete) this.#reserve();
    });
  }

  /** Everything that the head has declared has been received. */
  get #isComplete(): boolean {
    return this.#buffer.length === this.#declaredBytes;
  }

  /** Forgets what was received; called when the request is over. */
  dispose(): void {
    this.#isOver = true;
    this.#buffer.clear();
    this.#holding?.dispose();
  }

  #handleChunk(chunk: Buffer): void {
    if (this.#isOver) return;
    const { maximumBytes, onReceived } = this.#options;
    if (this.#buffer.length + chunk.length > maximumBytes) {
      return this.#failTooLarge();
    }
    this.#buffer.append(chunk);
    this.#holding?.recordProgress(chunk.length);
    onReceived(chunk.length);
    if (!this.#isComplete) this.#reserve();
  }

  /** Reserves what the next read of the connection may deliver, and waits if there is no room. */
  #reserve(): void {
    const holding = this.#holding ??= this.#openHolding();
    if (holding.isWaiting) return;
    const remaining = (this.#declaredBytes ?? this.#options.maximumBytes) -
      this.#buffer.length;
    const missing = this.#buffer.heldBytes + Math.min(blockBytes, remaining) -
      holding.bytes;
    if (missing <= 0 || holding.tryGrow(missing)) return;
    if (this.#isOver) return;
    this.#stopReading(holding);
    holding.waitFor(missing, () => this.#continueReading());
  }

  #openHolding(): Holding {
    const holding = this.#options.openHolding();
    holding.track({
      idleMilliseconds: this.#options.idleMilliseconds,
      evict: (reason) => this.#handleEviction(reason),
    });
    return holding;
  }

  // The rest of a read that has begun still arrives as data. A paused message would keep it in
  // chunks, and a flowing one would start the connection again by its next `_read`. The pause
  // follows in the next tick, since a resumption that is already scheduled would undo it.
  #stopReading(holding: Holding): void {
    const { message } = this.#options;
    message._read = () => {};
    nextTick(() => {
      if (holding.isWaiting) message.socket.pause();
    });
  }

  #continueReading(): void {
    const { message } = this.#options;
    if (!Object.hasOwn(message, "_read")) return;
    Reflect.deleteProperty(message, "_read");
    message.socket.resume();
  }

  #handleEnd(): void {
    if (this.#isOver) return;
    const holding = this.#holding;
    // The end can arrive with the read that exhausted the budget.
    if (holding?.isWaiting) return this.#fail(overloadedError);
    this.#isOver = true;
    holding?.untrack();
    const body = this.#buffer.take();
    holding?.resize(body.length);
    this.#options.onComplete(body);
  }

  #handleEviction(reason: EvictionReason): void {
    this.#fail(reason === "stalled" ? bodyTimeout : overloadedError);
  }

  #failTooLarge(): void {
    this.#fail(
      createErrorAnswer(
        413,
        "body_too_large",
        `the body exceeds ${this.#options.maximumBytes} bytes`,
      ),
    );
  }

  #fail(answer: ErrorAnswer): void {
    if (this.#isOver) return;
    this.dispose();
    this.#continueReading();
    this.#options.onFailure(answer);
  }
}

const bodyTimeout = createErrorAnswer(
  408,
  "body_timeout",
  "the body made no progress for too long; the request has not run",
);
