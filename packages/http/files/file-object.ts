/** Converts files to the file objects of the caller-facing API. */

import { CallerError } from "../../common/errors.ts";
import type { FileDescription } from "../../batch/batch-service.ts";

export function toFileObject(file: FileDescription) {
  return {
    id: file.id,
    object: "file",
    bytes: file.bytes,
    lines: file.lines,
    created_at: Math.floor(file.createdAt / 1_000),
    expires_at: Math.floor(file.expiresAt / 1_000),
    filename: file.filename,
    purpose: file.purpose,
    status: "processed",
  };
}

export function unknownFile(): CallerError {
  return new CallerError({
    status: 404,
    code: "unknown_file",
    message: "the workspace has no file with this id",
  });
}
