/**
 * Parses a multipart upload and streams its file. The fields may come before or after the file, so
 * the stream ends normally only once the complete form is known to be valid. Otherwise the stream
 * fails, and nothing is stored.
 */

import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";
import busboy, { type Busboy } from "busboy";
import { CallerError } from "../../common/errors.ts";
import {
  bodyTooLarge,
  invalidField,
  missingField,
} from "../errors/error-response.ts";
import { incompleteBody } from "../bodies/read-body.ts";
import { maximumFormOverheadBytes } from "../constants.ts";

export interface UploadedFile {
  readonly filename: string;
  /** Throws a CallerError if the form turns out to be invalid or the key is withdrawn. */
  readonly content: AsyncIterable<Uint8Array>;
}

export interface FileUploadOptions {
  request: IncomingMessage;
  /** Size limit of the file in bytes. */
  limit: number;
  /** Throws if the key has been withdrawn. Called for each chunk, as uploads may take minutes. */
  checkKey: () => void;
}

export class FileUpload {
  readonly #request: IncomingMessage;
  readonly #limit: number;
  readonly #checkKey: () => void;
  /** Resolves when the form has been read completely or has failed. */
  readonly #formEnd: Promise<void>;
  #resolveFormEnd!: () => void;
  #purpose: string | undefined;
  #file: Readable | undefined;
  #error: CallerError | undefined;

  constructor(options: FileUploadOptions) {
    this.#request = options.request;
    this.#limit = options.limit;
    this.#checkKey = options.checkKey;
    this.#formEnd = new Promise((resolve) => this.#resolveFormEnd = resolve);
  }

  /** First error found in the form so far. */
  get error(): CallerError | undefined {
    return this.#error;
  }

  /**
   * Resolves when the file part begins; the content must then be read to its end. Rejects with a
   * CallerError if the form fails before.
   */
  start(): Promise<UploadedFile> {
    const contentLength = Number(this.#request.headers["content-length"] ?? 0);
    if (contentLength > this.#limit + maximumFormOverheadBytes) {
      return Promise.reject(bodyTooLarge(this.#limit));
    }
    const form = this.#createParser();
    return new Promise((resolve, reject) => {
      form.on("field", (name, value) => {
        if (name === "purpose") this.#purpose = value;
      });
      form.on("file", (name, stream, info) => {
        // Without a listener, a failure before the content is read would crash the process.
        stream.on("error", () => {});
        if (name !== "file" || this.#file) {
          this.#fail(
            name === "file"
              ? invalidField("file", "must be given once")
              : invalidField(name, "must not be a file"),
          );
          stream.resume();
          return;
        }
        this.#file = stream;
        stream.on("limit", () => this.#fail(bodyTooLarge(this.#limit)));
        resolve({
          filename: info.filename ?? "",
          content: this.#readContent(stream),
        });
      });
      form.on("error", (cause) => this.#fail(invalidMultipart(cause)));
      form.on("close", () => {
        this.#checkForm();
        this.#resolveFormEnd();
      });
      this.#request.on("close", () => {
        if (!this.#request.complete) this.#fail(incompleteBody());
      });
      this.#request.pipe(form);
      void this.#formEnd.then(() => {
        if (this.#error) reject(this.#error);
      });
    });
  }

  #createParser(): Busboy {
    try {
      return busboy({
        headers: this.#request.headers,
        limits: { fileSize: this.#limit, fields: 16, files: 4, parts: 20 },
        defParamCharset: "utf8",
      });
    } catch (cause) {
      throw invalidMultipart(cause);
    }
  }

  #checkForm(): void {
    if (!this.#file) this.#fail(missingField("file"));
    else if (this.#purpose === undefined) this.#fail(missingField("purpose"));
    else if (this.#purpose !== "batch") {
      this.#fail(invalidField("purpose", "must be 'batch'"));
    }
  }

  async *#readContent(stream: Readable): AsyncGenerator<Uint8Array> {
    try {
      for await (const chunk of stream) {
        if (this.#error) throw this.#error;
        this.#checkKey();
        yield chunk as Uint8Array;
      }
    } catch (error) {
      if (error instanceof CallerError) this.#fail(error);
      throw this.#error ?? error;
    }
    await this.#formEnd;
    this.#checkKey();
    if (this.#error) throw this.#error;
  }

  #fail(error: CallerError): void {
    this.#error ??= error;
    this.#resolveFormEnd();
    this.#request.unpipe();
    this.#file?.destroy(this.#error);
  }
}

function invalidMultipart(cause: unknown): CallerError {
  return new CallerError({
    status: 400,
    code: "invalid_multipart",
    message: `the body is not a valid multipart form: ${
      cause instanceof Error ? cause.message : String(cause)
    }`,
    cause,
  });
}
