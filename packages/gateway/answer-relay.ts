/**
 * Passes the answer of a server on to the caller: as it arrives, held until it is complete, or in
 * whole events, so that a request can be sent to another server as long as its route allows. The
 * answers of several servers in turn form one stream for the caller.
 */

import { Buffer } from "node:buffer";
import type { AnswerHead } from "./caller-request.ts";
import type { CallerResponse } from "./caller-response.ts";
import {
  EventCounter,
  EventSplitter,
  type StreamEvent,
} from "./event-splitter.ts";
import type { Holding } from "../overload/held-bytes.ts";
import { HeldAnswer } from "./held-answer.ts";
import type { AttemptFailure } from "./server-attempt.ts";

/**
 * `direct`: as it arrives. `held`: once complete, to allow retries until then. `events`: in whole
 * events, so that the stream can be resumed at another server.
 */
type RelayMode = "direct" | "held" | "events";

export interface AnswerRelayOptions {
  readonly response: CallerResponse;
  /** The route answers with event streams. */
  readonly isStream: boolean;
  /** The answer has a head only, as that to a HEAD request. */
  readonly hasNoBody: boolean;
  /** The request may be sent again although it may have run. */
  readonly isRetryable: boolean;
  /** The last event that the caller has received already. */
  readonly lastEventId: number | undefined;
  /** Opens a holding for an answer that is held until it is complete. */
  readonly openHolding: () => Holding;
  /** Called before bytes are written to the caller. */
  readonly onWrite: () => void;
  /** Called when the caller reads too slowly. */
  readonly onFull: () => void;
}

const statusOk = 200;

export class AnswerRelay {
  readonly #options: AnswerRelayOptions;
  readonly #held: HeldAnswer;
  /** Takes the events of an answer that is passed on in whole events. */
  #splitter = new EventSplitter();
  /** Counts those of a stream that is passed on as it arrives, and may be of any length. */
  #counter = new EventCounter();
  #mode: RelayMode = "direct";
  #head: AnswerHead | undefined;
  #lastEventId: number | undefined;
  #hasContent = false;
  #eventsOfAttempt = 0;

  constructor(options: AnswerRelayOptions) {
    this.#options = options;
    this.#held = new HeldAnswer(options.openHolding);
    this.#lastEventId = options.lastEventId;
  }

  get head(): AnswerHead | undefined {
    return this.#head;
  }

  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** Whole events that the present server has sent; 0 unless the answer is an event stream. */
  get eventsOfAttempt(): number {
    return this.#eventsOfAttempt;
  }

  /** The present server has sent content of a successful answer. */
  get hasBegunAnswer(): boolean {
    return this.#hasContent && this.#head?.status === statusOk;
  }

  /** The caller has received a part of the answer that another server cannot continue. */
  get isCommitted(): boolean {
    return this.#options.response.hasBegun && this.#mode === "direct";
  }

  /** Called before the request is sent to a server. */
  startAttempt(): void {
    this.#splitter = new EventSplitter();
    this.#counter = new EventCounter();
    this.#head = undefined;
    this.#hasContent = false;
    this.#eventsOfAttempt = 0;
  }

  acceptHead(head: AnswerHead): void {
    const { isStream, isRetryable } = this.#options;
    this.#head = head;
    this.#held.release();
    this.#mode = "direct";
    if (head.status === statusOk && isRetryable) {
      this.#mode = isStream ? "events" : "held";
    }
    if (this.#mode === "direct") this.#begin();
  }

  /**
   * Takes bytes of the answer. Returns true if it has progressed, which for a stream takes a whole
   * event, or a failure if the bytes cannot belong to a sound answer.
   */
  add(chunk: Buffer): boolean | AttemptFailure {
    this.#hasContent = true;
    if (this.#mode === "events") return this.#addEvents(chunk);
    if (this.#mode === "direct") {
      if (this.#isEventStream) {
        this.#eventsOfAttempt += this.#counter.push(chunk);
      }
      this.#write(chunk);
    } else if (this.#held.add(chunk)) {
      this.#releaseHeld();
    }
    return true;
  }

  /** The failure that the end of the answer means; undefined if the answer is complete. */
  checkEnd(): AttemptFailure | undefined {
    if (!this.#isEventStream) return undefined;
    if (this.#counter.isInsideEvent || this.#splitter.pendingBytes > 0) {
      return {
        ...failure("the stream ended in the middle of an event"),
        isConnectionBroken: true,
      };
    }
    const isResumed = this.#lastEventId !== undefined;
    if (this.#eventsOfAttempt === 0 && !isResumed) {
      return {
        ...failure("the stream ended without an event"),
        isConnectionBroken: true,
      };
    }
    return undefined;
  }

  /** Forgets what is held; called when the request is over. */
  dispose(): void {
    this.#held.release();
  }

  complete(): void {
    if (this.#mode === "held") this.#releaseHeld();
    this.#begin();
    this.#options.response.end();
  }

  get #isEventStream(): boolean {
    const { isStream, hasNoBody } = this.#options;
    return isStream && !hasNoBody && this.#head?.status === statusOk;
  }

  #addEvents(chunk: Buffer): boolean | AttemptFailure {
    const wholeEvents: Buffer[] = [];
    for (const event of this.#splitter.push(chunk)) {
      if (!this.#isNextEvent(event)) {
        this.#writeEvents(wholeEvents);
        return failure(
          `event ${event.id} does not follow ${this.#lastEventId}`,
        );
      }
      if (event.id !== undefined) this.#lastEventId = event.id;
      wholeEvents.push(event.bytes);
    }
    this.#eventsOfAttempt += wholeEvents.length;
    this.#writeEvents(wholeEvents);
    if (this.#splitter.isOversized) {
      return failure("an event of the stream does not end");
    }
    return wholeEvents.length > 0;
  }

  #isNextEvent(event: StreamEvent): boolean {
    return event.id === undefined || this.#lastEventId === undefined ||
      event.id === this.#lastEventId + 1;
  }

  #writeEvents(events: Buffer[]): void {
    if (events.length === 0) return;
    this.#begin();
    this.#write(events.length === 1 ? events[0]! : Buffer.concat(events));
  }

  #releaseHeld(): void {
    this.#begin();
    this.#mode = "direct";
    for (const chunk of this.#held.release()) this.#write(chunk);
  }

  #begin(): void {
    const { response } = this.#options;
    if (response.hasBegun) return;
    response.begin(this.#head!.status, this.#head!.forwardedHeaders);
  }

  #write(bytes: Buffer): void {
    const { response, onWrite, onFull } = this.#options;
    onWrite();
    if (!response.write(bytes)) onFull();
  }
}

/** A failure of a server while it was answering. */
function failure(reason: string): AttemptFailure {
  return { verdict: "ran", reason, isServerFault: true };
}
