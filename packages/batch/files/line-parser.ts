/**
 * Splits an upload into lines and validates each one as its bytes are received. Keeps only the
 * bytes of the current line, and a key of at most 24 characters for each custom_id to detect
 * duplicates.
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
  #lineParts: Uint8Array[] = [];
  #lineBytes = 0;
  #lineNumber = 0;
  #firstBlankLine: number | undefined;

  /** Adds bytes and returns the lines that are now complete, without their line feeds. */
  *push(bytes: Uint8Array): Generator<Uint8Array> {
    let position = 0;
    while (position < bytes.length) {
      const end = bytes.indexOf(0x0a, position);
      if (end === -1) {
        this.#appendToLine(bytes.subarray(position));
        return;
      }
      this.#appendToLine(bytes.subarray(position, end));
      position = end + 1;
      const line = this.#completeLine();
      if (line) yield line;
    }
  }

  /** The last line, if it does not end with a line feed. */
  finish(): Uint8Array | undefined {
    return this.#lineBytes > 0 ? this.#completeLine() : undefined;
  }

  #appendToLine(bytes: Uint8Array): void {
    if (this.#lineBytes + bytes.length > maximumLineBytes) {
      throw lineError(
        this.#lineNumber + 1,
        "line_too_long",
        `a line may have at most ${maximumLineBytes} bytes`,
      );
    }
    if (bytes.length === 0) return;
    this.#lineParts.push(bytes);
    this.#lineBytes += bytes.length;
  }

  #completeLine(): Uint8Array | undefined {
    this.#lineNumber++;
    const line = this.#lineParts.length === 1
      ? this.#lineParts[0] as Uint8Array
      : Buffer.concat(this.#lineParts);
    this.#lineParts = [];
    this.#lineBytes = 0;
    const text = Buffer.from(line.buffer, line.byteOffset, line.length)
      .toString("utf8");
    if (text.trim() === "") {
      this.#firstBlankLine ??= this.#lineNumber;
      return undefined;
    }
    if (this.#firstBlankLine !== undefined) {
      throw lineError(
        this.#firstBlankLine,
        "invalid_json",
        "the line is empty",
      );
    }
    this.#validateItem(text);
    return line;
  }

  #validateItem(text: string): void {
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
    const uniquenessKey = customIdKey(parsed.data.custom_id);
    if (this.#customIds.has(uniquenessKey)) {
      throw lineError(
        this.#lineNumber,
        "duplicate_custom_id",
        "the custom_id is used by an earlier line",
        "custom_id",
      );
    }
    this.#customIds.add(uniquenessKey);
  }
}

/**
 * Key that detects duplicate custom_ids. Long ids are replaced by 144 bits of a SHA-256 digest,
 * which bounds the memory of an upload.
 */
function customIdKey(customId: string): string {
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
