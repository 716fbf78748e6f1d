/**
 * Splits the bytes of an event stream (server-sent events) into whole events. An event ends with
 * an empty line. The bytes are not changed, so that callers get exactly what the server sent.
 */

import { Buffer } from "node:buffer";

/** Longest event of a sound stream; an event holds the text of a few tokens. */
export const maximumEventBytes = 64 * 1024;

export interface StreamEvent {
  /** The event, including the empty line that ends it. */
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** Only a line feed ends a line here, as it ends an event. */
const idPattern = /(?:^|\n)id: ?(\d+)\r?(?:\n|$)/;

export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);
  /** Up to here, no end of an event was found in the pending bytes. */
  #searchedBytes = 0;

  /** Number of bytes received of an event whose end has not arrived. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** True if the present event is longer than any sound one, so that it may never end. */
  get isOversized(): boolean {
    return this.#pending.length > maximumEventBytes;
  }

  /** Adds received bytes and returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[] {
    this.#pending = this.#pending.length === 0
      ? chunk
      : Buffer.concat([this.#pending, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      // The line break before the empty line may be among the bytes searched before.
      const searchStart = Math.max(start, this.#searchedBytes - 2);
      const end = endOfEvent(this.#pending, searchStart);
      if (end < 0) break;
      const bytes = this.#pending.subarray(start, end);
      events.push({ bytes, id: idOf(bytes) });
      start = end;
    }
    this.#pending = this.#pending.subarray(start);
    this.#searchedBytes = this.#pending.length;
    return events;
  }
}

/** Counts whole events in the same way, without holding any bytes. */
export class EventCounter {
  #position: "in_line" | "after_line_feed" | "after_carriage_return" =
    "in_line";
  #isInsideEvent = false;

  /** True if bytes of an event were received whose end has not arrived. */
  get isInsideEvent(): boolean {
    return this.#isInsideEvent;
  }

  /** Returns the number of events that the received bytes complete. */
  push(chunk: Buffer): number {
    let events = 0;
    for (let at = 0; at < chunk.length;) {
      if (this.#position === "in_line") {
        this.#isInsideEvent = true;
        const lineEnd = chunk.indexOf(lineFeed, at);
        if (lineEnd < 0) break;
        this.#position = "after_line_feed";
        at = lineEnd + 1;
        continue;
      }
      const byte = chunk[at];
      at += 1;
      if (byte === lineFeed) {
        events += 1;
        this.#isInsideEvent = false;
        this.#position = "in_line";
      } else if (
        byte === carriageReturn && this.#position === "after_line_feed"
      ) {
        this.#position = "after_carriage_return";
      } else {
        this.#position = "in_line";
      }
    }
    return events;
  }
}

/** Position after the first empty line from `start` on, or -1 if it has not arrived. */
function endOfEvent(bytes: Buffer, start: number): number {
  for (
    let at = bytes.indexOf(lineFeed, start);
    at >= 0;
    at = bytes.indexOf(lineFeed, at + 1)
  ) {
    if (bytes[at + 1] === lineFeed) return at + 2;
    if (bytes[at + 1] === carriageReturn && bytes[at + 2] === lineFeed) {
      return at + 3;
    }
  }
  return -1;
}

function idOf(bytes: Buffer): number | undefined {
  const match = idPattern.exec(bytes.toString("latin1"));
  return match ? Number(match[1]) : undefined;
}

/** The data of an event; several lines are joined by line feeds. */
export function dataOf(event: StreamEvent): string {
  return valuesOf(event.bytes.toString("utf8"), "data").join("\n");
}

/**
 * The values of a field, in order. Only a line feed, with or without a carriage return before it,
 * ends a line, as it ends an event; any other character belongs to the value.
 */
function valuesOf(event: string, field: string): string[] {
  const values: string[] = [];
  for (const line of event.split("\n")) {
    if (!line.startsWith(`${field}:`)) continue;
    const start = field.length + (line[field.length + 1] === " " ? 2 : 1);
    values.push(line.slice(start, line.endsWith("\r") ? -1 : undefined));
  }
  return values;
}
