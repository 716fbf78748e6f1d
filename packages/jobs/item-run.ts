/**
 * Sends one item to one server and collects the events of the response. An interrupted run
 * leaves the data received so far and the id of the last event, from which the next run resumes.
 */

import { Buffer } from "node:buffer";
import type { InstanceId } from "../common/ids.ts";
import type { AnswerMeter } from "../fleet/speed/answer-meter.ts";
import type { AnswerHead } from "../gateway/caller-request.ts";
import { dataOf, EventSplitter } from "../gateway/event-splitter.ts";
import {
  type AttemptFailure,
  type AttemptListener,
  type AttemptOptions,
  ServerAttempt,
} from "../gateway/server-attempt.ts";
import type { Holding } from "../overload/held-bytes.ts";
import { maximumItemTextBytes, maximumOversizedRuns } from "./constants.ts";

/** What all runs of an item have received so far. */
export interface PartialOutput {
  /** Data of each event; the first entry may be the whole text that an earlier owner stored. */
  readonly eventData: string[];
  lastEventId: number | undefined;
  /** Runs that were stopped since the text exceeded `maximumItemTextBytes`. */
  oversizedRuns: number;
  /** Wall-clock time from which the item may be given up. */
  readonly retainedUntil: number;
}

export type RunOutcome =
  | { readonly kind: "completed" }
  /** The server reported that the item can never succeed. */
  | { readonly kind: "impossible" }
  /** The server failed to process the item; such runs count as attempts. */
  | { readonly kind: "failed" }
  | {
    readonly kind: "interrupted";
    readonly reason: string;
    /** Whether the run counts against the health of the server; a refusal does not. */
    readonly isServerFault: boolean;
    /** The connection ended, so that the server may have crashed. */
    readonly isConnectionBroken: boolean;
  }
  | { readonly kind: "cancelled" };

export interface ItemRunOptions {
  readonly server: InstanceId;
  readonly output: PartialOutput;
  /** Holds what the run receives until its end. */
  readonly holding: Holding;
  readonly attempt: AttemptOptions;
  readonly wallNow: () => number;
  readonly onStatement: AttemptListener["onStatement"];
  readonly onConnectionRefused: AttemptListener["onConnectionRefused"];
  readonly meter: AnswerMeter | undefined;
  /** Called when the first event arrives. */
  readonly onBegin: () => void;
  /** Resolves to true if the server has crashed; asked where only the connection ends an answer. */
  readonly hasServerCrashed: () => Promise<boolean>;
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
  /** Bytes of the whole text in UTF-8, those of earlier runs included. */
  #textBytes: number;
  #receivedEvents = 0;
  #hasBegun = false;
  #isOver = false;

  constructor(options: ItemRunOptions) {
    this.#options = options;
    this.server = options.server;
    this.#textBytes = options.output.eventData.reduce(
      (sum, data) => sum + Buffer.byteLength(data),
      0,
    );
    this.#attempt = new ServerAttempt(options.attempt, {
      onStatement: options.onStatement,
      onConnectionRefused: options.onConnectionRefused,
      onHead: (head) => this.#handleHead(head),
      onData: (chunk) => this.#handleData(chunk),
      onEnd: () => this.#handleEnd(),
      onFailure: (failure) => this.#handleFailure(failure),
    });
  }

  start(): void {
    this.#attempt.start();
  }

  /** Cancels the request at the server; the data received so far is kept. */
  cancel(): void {
    this.#end({ kind: "cancelled" });
  }

  #handleHead(head: AnswerHead): void {
    this.#status = head.status;
    if (head.hasNotRun) return this.#interrupt("refused by the server", false);
    if (head.status === statusOk) {
      if (!head.hasStamp) this.#interrupt("the answer has no stamp", true);
      return;
    }
    if (head.status === statusUnprocessable) {
      return this.#end({ kind: "impossible" });
    }
    if (head.status === statusServerError) return this.#end({ kind: "failed" });
    this.#interrupt(`the server answered with status ${head.status}`, true);
  }

  /** Returns true if the chunk completes an event. */
  #handleData(chunk: Buffer): boolean {
    if (this.#isOver || this.#status !== statusOk) return false;
    const { output } = this.#options;
    const events = this.#splitter.push(chunk);
    this.#receivedEvents += events.length;
    this.#options.meter?.update(this.#receivedEvents);
    if (!this.#hasBegun) {
      this.#hasBegun = true;
      this.#options.onBegin();
    }
    for (const event of events) {
      // The ids of an item's events are consecutive, also from one run to the next.
      const expected = (output.lastEventId ?? event.id ?? 0) +
        (output.lastEventId === undefined ? 0 : 1);
      if (event.id !== expected) {
        this.#interrupt(
          `received event ${event.id} instead of event ${expected}`,
          true,
        );
        return false;
      }
      output.lastEventId = event.id;
      const data = dataOf(event);
      output.eventData.push(data);
      this.#textBytes += Buffer.byteLength(data);
    }
    this.#options.holding.resize(this.#textBytes);
    if (this.#splitter.isOversized) {
      this.#interrupt("an event of the stream does not end", true);
    } else if (this.#textBytes > maximumItemTextBytes) {
      this.#discardOutput();
      output.oversizedRuns += 1;
      const mayGiveUp = output.oversizedRuns >= maximumOversizedRuns &&
        this.#options.wallNow() >= output.retainedUntil;
      if (mayGiveUp) this.#end({ kind: "impossible" });
      else this.#interrupt("the text of the item does not end", true);
    }
    return events.length > 0;
  }

  /** Forgets what was received, since it cannot be the output of the item. */
  #discardOutput(): void {
    const { output } = this.#options;
    output.eventData.length = 0;
    output.lastEventId = undefined;
  }

  #handleEnd(): void {
    if (this.#splitter.pendingBytes > 0) {
      return this.#interrupt(
        "the stream ended in the middle of an event",
        true,
        true,
      );
    }
    if (this.#options.output.lastEventId === undefined) {
      return this.#interrupt("the stream ended without an event", true, true);
    }
    if (!this.#attempt.endsWithConnection) {
      return this.#end({ kind: "completed" });
    }
    void this.#options.hasServerCrashed().then((hasCrashed) =>
      hasCrashed
        ? this.#interrupt("the server crashed", true, true)
        : this.#end({ kind: "completed" })
    );
  }

  #handleFailure(failure: AttemptFailure): void {
    const { reason, isServerFault, isConnectionBroken } = failure;
    this.#interrupt(reason, isServerFault, isConnectionBroken);
  }

  #interrupt(
    reason: string,
    isServerFault: boolean,
    isConnectionBroken = false,
  ): void {
    this.#end({
      kind: "interrupted",
      reason,
      isServerFault,
      isConnectionBroken,
    });
  }

  /** False if the item has not been sent, since no connection became available. */
  get wasSent(): boolean {
    return this.#attempt.wasSent;
  }

  /** True once content of the answer has arrived. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  #end(outcome: RunOutcome): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#attempt.cancel();
    this.#options.holding.dispose();
    this.#options.onEnd(outcome);
  }
}
