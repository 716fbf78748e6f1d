/**
 * One run of one item at one server. The text grows event by event; a run that is interrupted
 * leaves the text and the last event, from which the next run goes on.
 */

import type { Buffer } from "node:buffer";
import type { InstanceId } from "../common/ids.ts";
import type { AnswerHead } from "../gateway/caller-request.ts";
import { dataOf, EventSplitter } from "../gateway/event-splitter.ts";
import {
  type AttemptFailure,
  type AttemptOptions,
  ServerAttempt,
} from "../gateway/server-attempt.ts";

/** What has been received of an item so far. */
export interface ItemText {
  readonly texts: string[];
  lastEventId: number | undefined;
}

export type RunOutcome =
  | { readonly kind: "completed" }
  /** The server says that the item can never be done. */
  | { readonly kind: "impossible" }
  /** The server failed at the item. */
  | { readonly kind: "failed" }
  | {
    readonly kind: "interrupted";
    readonly reason: string;
    readonly isServerFault: boolean;
  }
  | { readonly kind: "cancelled" };

export interface ItemRunOptions {
  readonly server: InstanceId;
  readonly text: ItemText;
  readonly attempt: AttemptOptions;
  readonly onHead: (head: AnswerHead) => void;
  readonly onEnd: (outcome: RunOutcome) => void;
}

const statusOk = 200;
const statusUnprocessable = 422;
const statusServerError = 500;

export class ItemRun {
  readonly server: InstanceId;
  readonly #options: ItemRunOptions;
  readonly #attempt: ServerAttempt;
  readonly #splitter = new EventSplitter();
  #status = 0;
  #isOver = false;

  constructor(options: ItemRunOptions) {
    this.#options = options;
    this.server = options.server;
    this.#attempt = new ServerAttempt(options.attempt, {
      onHead: (head) => this.#handleHead(head),
      onData: (chunk) => this.#handleData(chunk),
      onEnd: () => this.#handleEnd(),
      onFailure: (failure) => this.#handleFailure(failure),
    });
  }

  start(): void {
    this.#attempt.start();
  }

  /** Stops the server's work; what has been received stays. */
  cancel(): void {
    this.#end({ kind: "cancelled" });
  }

  #handleHead(head: AnswerHead): void {
    this.#options.onHead(head);
    this.#status = head.status;
    if (head.hasNotRun) return this.#interrupt("the server refused", false);
    if (head.status === statusOk) {
      if (!head.hasStamp) this.#interrupt("the answer bears no mark", true);
      return;
    }
    if (head.status === statusUnprocessable) {
      return this.#end({ kind: "impossible" });
    }
    if (head.status === statusServerError) return this.#end({ kind: "failed" });
    this.#interrupt(`the server answered ${head.status}`, true);
  }

  #handleData(chunk: Buffer): void {
    if (this.#isOver || this.#status !== statusOk) return;
    const { text } = this.#options;
    for (const event of this.#splitter.push(chunk)) {
      const expected = (text.lastEventId ?? event.id ?? 0) +
        (text.lastEventId === undefined ? 0 : 1);
      if (event.id !== expected) {
        return this.#interrupt(
          `event ${event.id} came instead of ${expected}`,
          true,
        );
      }
      text.lastEventId = event.id;
      text.texts.push(dataOf(event));
    }
  }

  #handleEnd(): void {
    if (this.#splitter.pendingBytes > 0) {
      return this.#interrupt("the stream ended within an event", true);
    }
    this.#end({ kind: "completed" });
  }

  #handleFailure(failure: AttemptFailure): void {
    this.#interrupt(failure.reason, failure.isServerFault);
  }

  #interrupt(reason: string, isServerFault: boolean): void {
    this.#end({ kind: "interrupted", reason, isServerFault });
  }

  #end(outcome: RunOutcome): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#attempt.cancel();
    this.#options.onEnd(outcome);
  }
}
