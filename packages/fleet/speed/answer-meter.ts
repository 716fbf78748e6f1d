/** Measures one answer of a server: the time to its first event, and the pace of its events. */

import type { UpstreamServer } from "../upstreams.ts";
import { PaceMeter } from "./pace-meter.ts";
import type { AnswerTime, ServerSpeeds } from "./server-speeds.ts";

export interface AnswerMeterOptions {
  readonly server: Pick<UpstreamServer, "id" | "service">;
  readonly paceKind: Exclude<AnswerTime["kind"], "first_event">;
  /** When the request was sent to a server with a free slot; undefined if it may have queued. */
  readonly sentAt?: number | undefined;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly record: (time: AnswerTime, now: number) => void;
}

export class AnswerMeter {
  readonly #options: AnswerMeterOptions;
  readonly #pace = new PaceMeter();
  #events = 0;

  constructor(options: AnswerMeterOptions) {
    this.#options = options;
  }

  /** Takes the number of events that have arrived so far. */
  update(events: number): void {
    const added = events - this.#events;
    if (added <= 0) return;
    const { sentAt, now, paceKind } = this.#options;
    const time = now();
    if (this.#events === 0 && sentAt !== undefined) {
      this.#record("first_event", time - sentAt, time);
    }
    this.#events = events;
    const pace = this.#pace.add(added, time);
    if (pace !== undefined) this.#record(paceKind, pace, time);
  }

  /** Discards the present window, since reading was interrupted for a slow caller. */
  interrupt(): void {
    this.#pace.reset();
  }

  #record(kind: AnswerTime["kind"], milliseconds: number, now: number): void {
    const { server: { id, service }, record } = this.#options;
    record({ server: id, service, kind, milliseconds }, now);
  }
}

/** The meter of the run of a batch item, which may wait at a server before it begins. */
export function batchMeter(
  server: UpstreamServer,
  speeds: Pick<ServerSpeeds, "recordAnswerTime">,
  now: () => number,
): AnswerMeter {
  return new AnswerMeter({
    server,
    paceKind: "batch_pace",
    now,
    record: (...time) => speeds.recordAnswerTime(...time),
  });
}
