/** Reads the body of a request into memory, up to a size limit. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { CallerError } from "../../common/errors.ts";
import { bodyTooLarge } from "../errors/error-response.ts";

/** The limit is in bytes. Rejects with a CallerError if the body is larger or incomplete. */
export function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Buffer> {
  const contentLength = Number(request.headers["content-length"] ?? 0);
  if (contentLength > limit) return Promise.reject(bodyTooLarge(limit));
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const removeListeners = () => {
      request.off("data", onData);
      request.off("end", onEnd);
      request.off("close", onClose);
      request.off("error", onClose);
    };
    const onData = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > limit) {
        removeListeners();
        request.pause();
        reject(bodyTooLarge(limit));
        return;
      }
      chunks.push(chunk);
    };
    const onEnd = () => {
      removeListeners();
      resolve(
        chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks),
      );
    };
    const onClose = () => {
      removeListeners();
      reject(incompleteBody());
    };
    request.on("data", onData);
    request.on("end", onEnd);
    request.on("close", onClose);
    request.on("error", onClose);
  });
}

export function incompleteBody(): CallerError {
  return new CallerError({
    status: 400,
    code: "incomplete_body",
    message: "the connection closed before the body was complete",
  });
}
