/**
 * Splits an upload into lines and checks each one while the upload streams in. Only the bytes
 * of the current line are held, plus a digest of each custom_id to find duplicates.
 */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { z } from "zod";
import { CallerError } from "../../common/errors.ts";
import { maximumCustomIdLength, maximumLineBytes } from "../constants.ts";

export const itemSchema = z.object({
  custom_id: z.string().min(1).max(maximumCustomIdLength),
  method: z.string().regex(/^[A-Z]+$/, "must be an HTTP method"),
  url: z.string().regex(/^\/[^\s]*$/, "must be a path that begins with '/'"),
  body: z.record(z.string(), z.unknown()),
});

export type BatchItem = z.infer<typeof itemSchema>;

export class LineParser {
  readonly #customIds = new Set<string>();
  #pending: Uint8Array[] = [];
  #pendingBytes = 0;
  #lineNumber = 0;
  #blankLine: number | undefined;

  /** Adds bytes and returns the lines that are now complete, without their line feeds. */
  *push(bytes: Uint8Array): Generator<Uint8Array> {
    let position = 0;
    while (position < bytes.length) {
      const end = bytes.indexOf(0x0a, position);
      if (end === -1) {
        this.#keep(bytes.subarray(position));
        return;
      }
      this.#keep(bytes.subarray(position, end));
      position = end + 1;
      const line = this.#takeLine();
      if (line) yield line;
    }
  }

  /** The last line, if it does not end with a line feed. */
  finish(): Uint8Array | undefined {
    return this.#pendingBytes > 0 ? this.#takeLine() : undefined;
  }

  #keep(bytes: Uint8Array): void {
    if (this.#pendingBytes + bytes.length > maximumLineBytes) {
      throw lineError(
        this.#lineNumber + 1,
        "line_too_long",
        `a line may have at most ${maximumLineBytes} bytes`,
      );
    }
    if (bytes.length === 0) return;
    this.#pending.push(bytes);
    this.#pendingBytes += bytes.length;
  }

  #takeLine(): Uint8Array | undefined {
    this.#lineNumber++;
    const line = this.#pending.length === 1
      ? this.#pending[0] as Uint8Array
      : Buffer.concat(this.#pending);
    this.#pending = [];
    this.#pendingBytes = 0;
    const text = Buffer.from(line.buffer, line.byteOffset, line.length)
      .toString("utf8");
    if (text.trim() === "") {
      this.#blankLine ??= this.#lineNumber;
      return undefined;
    }
    if (this.#blankLine !== undefined) {
      throw lineError(this.#blankLine, "invalid_json", "the line is empty");
    }
    this.#check(text);
    return line;
  }

  #check(text: string): void {
    let value: unknown;
    try {
      value = JSON.parse(text);
    } catch {
      throw lineError(
        this.#lineNumber,
        "invalid_json",
        "the line is not a JSON object",
      );
    }
    const parsed = itemSchema.safeParse(value);
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      const field = issue?.path.join(".") || undefined;
      throw lineError(
        this.#lineNumber,
        "invalid_item",
        field ? `${field}: ${issue?.message}` : "the line is not a JSON object",
        field,
      );
    }
    const key = shortKey(parsed.data.custom_id);
    if (this.#customIds.has(key)) {
      throw lineError(
        this.#lineNumber,
        "duplicate_custom_id",
        "the custom_id is used by an earlier line",
        "custom_id",
      );
    }
    this.#customIds.add(key);
  }
}

/** Long ids are replaced by a 144-bit digest, which bounds the memory of an upload. */
function shortKey(customId: string): string {
  if (customId.length < 24) return customId;
  return createHash("sha256").update(customId).digest("base64").slice(0, 24);
}

function lineError(
  line: number,
  code: string,
  message: string,
  field?: string,
): CallerError {
  return new CallerError({
    status: 400,
    code,
    message: `line ${line}: ${message}`,
    line,
    ...(field === undefined ? {} : { field }),
  });
}
