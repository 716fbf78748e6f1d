/**
 * Records the requests of an upstream stand-in in order of arrival, each with its outcome as
 * soon as it is known. Tests compare the journal with the answers that callers received.
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { type HttpExchange, sendBytes } from "./http-service.ts";
import { compactionThreshold } from "../constants.ts";

export type JournalOutcome =
  | "running"
  | "completed"
  | "cancelled"
  | "rejected"
  | "failed"
  | "truncated"
  /** The request was executed, but its connection was closed without an answer. */
  | "unanswered";

export interface JournalEntry {
  setBody(body: Uint8Array): void;
  /** Sets the outcome; later calls have no effect. */
  setOutcome(outcome: JournalOutcome): void;
}

export class Journal {
  readonly #maximumEntries: number;
  #entries: StoredJournalEntry[] = [];
  #droppedCount = 0;

  constructor(maximumEntries: number) {
    this.#maximumEntries = maximumEntries;
  }

  /** Adds an entry with the outcome "running". */
  addEntry(request: IncomingMessage): JournalEntry {
    const entry = new StoredJournalEntry(request);
    this.#entries.push(entry);
    const excess = this.#entries.length - this.#maximumEntries;
    if (excess >= compactionThreshold) {
      this.#entries = this.#entries.slice(excess);
      this.#droppedCount += excess;
    }
    return entry;
  }

  /** Answers `GET /journal` with the entries from the index in the query parameter `from`. */
  send({ query, response }: HttpExchange): void {
    const from = Math.max(0, Number(query.get("from") ?? 0) || 0);
    const lines = this.#entries
      .slice(Math.max(0, from - this.#droppedCount))
      .map((entry) => entry.toJsonLine() + "\n");
    sendBytes(
      response,
      200,
      "application/jsonl",
      Buffer.from(lines.join("")),
      { "x-dropped-entries": String(this.#droppedCount) },
    );
  }
}

class StoredJournalEntry implements JournalEntry {
  readonly #time = new Date().toISOString();
  readonly #method: string;
  readonly #path: string;
  readonly #headers: IncomingMessage["headers"];
  #body = "";
  #outcome: JournalOutcome = "running";

  constructor(request: IncomingMessage) {
    this.#method = request.method ?? "GET";
    this.#path = request.url ?? "/";
    this.#headers = request.headers;
  }

  setBody(body: Uint8Array): void {
    this.#body = Buffer.from(body).toString("utf8");
  }

  setOutcome(outcome: JournalOutcome): void {
    if (this.#outcome === "running") this.#outcome = outcome;
  }

  toJsonLine(): string {
    return JSON.stringify({
      time: this.#time,
      method: this.#method,
      path: this.#path,
      headers: this.#headers,
      body: this.#body,
      outcome: this.#outcome,
    });
  }
}
