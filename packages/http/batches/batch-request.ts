/** Validates requests that create a batch. */

import { CallerError } from "../../common/errors.ts";
import { sha256Hex } from "../../common/hashing.ts";
import { brandAs, type FileId, type WorkspaceId } from "../../common/ids.ts";
import type { Configuration } from "../../control/control-state.ts";
import { chatPath } from "../../routing/constants.ts";
import { findRoute, isRouteAllowed } from "../../routing/routes.ts";
import type { JsonObject } from "../bodies/json-body.ts";
import {
  maximumIdempotencyKeyCharacters,
  maximumMetadataKeyCharacters,
  maximumMetadataPairs,
  maximumMetadataValueCharacters,
} from "../constants.ts";
import { invalidField, missingField } from "../errors/error-response.ts";
import { parseDeadline } from "./deadline.ts";

export interface BatchRequest {
  readonly inputFile: FileId;
  readonly endpoint: string;
  /** Wall-clock milliseconds. */
  readonly deadline: number;
  readonly metadata: Record<string, string>;
  /** Hash of the request, equal for every resend of it. */
  readonly fingerprint: string;
}

/** Throws a CallerError if the request is invalid or its endpoint may not be used. */
export function parseBatchRequest(
  body: JsonObject,
  context: {
    configuration: Configuration;
    workspace: WorkspaceId;
    now: number;
  },
): BatchRequest {
  const inputFile = requireString(body, "input_file_id");
  const endpoint = requireString(body, "endpoint");
  checkEndpoint(endpoint, context.configuration, context.workspace);
  const deadline = parseDeadline(body, context.now);
  const metadata = parseMetadata(body["metadata"]);
  // Contains the completion window as given, because the deadline computed from it differs for a
  // resend.
  const fingerprint = sha256Hex(JSON.stringify([
    inputFile,
    endpoint,
    body["deadline"] ?? null,
    body["completion_window"] ?? null,
    Object.entries(metadata).sort(([left], [right]) => left < right ? -1 : 1),
  ]));
  return {
    inputFile: brandAs<FileId>(inputFile),
    endpoint,
    deadline,
    metadata,
    fingerprint,
  };
}

export function parseIdempotencyKey(
  value: string | readonly string[] | undefined,
): string | undefined {
  if (value === undefined || value === "") return undefined;
  if (
    typeof value !== "string" || value.length > maximumIdempotencyKeyCharacters
  ) {
    throw invalidField(
      "Idempotency-Key",
      `must have at most ${maximumIdempotencyKeyCharacters} characters`,
    );
  }
  return value;
}

function requireString(body: JsonObject, field: string): string {
  const value = body[field];
  if (value === undefined || value === null || value === "") {
    throw missingField(field);
  }
  if (typeof value !== "string") throw invalidField(field, "must be a string");
  return value;
}

function checkEndpoint(
  endpoint: string,
  configuration: Configuration,
  workspace: WorkspaceId,
): void {
  if (endpoint === chatPath) return;
  const route = findRoute(configuration.routes, endpoint);
  if (!route) {
    throw invalidField(
      "endpoint",
      `must be ${chatPath} or a path below a route`,
    );
  }
  if (!isRouteAllowed(route, workspace)) {
    throw new CallerError({
      status: 403,
      code: "route_not_allowed",
      message: "the workspace may not use the route",
      type: "permission_error",
      field: "endpoint",
    });
  }
}

function parseMetadata(value: unknown): Record<string, string> {
  if (value === undefined || value === null) return {};
  if (typeof value !== "object" || Array.isArray(value)) {
    throw invalidField("metadata", "must be an object of strings");
  }
  const entries = Object.entries(value);
  if (entries.length > maximumMetadataPairs) {
    throw invalidField(
      "metadata",
      `must have at most ${maximumMetadataPairs} entries`,
    );
  }
  for (const [name, text] of entries) {
    if (
      typeof text !== "string" ||
      name.length > maximumMetadataKeyCharacters ||
      text.length > maximumMetadataValueCharacters
    ) {
      throw invalidField(
        "metadata",
        `must map names of at most ${maximumMetadataKeyCharacters} characters to strings of at most ${maximumMetadataValueCharacters}`,
      );
    }
  }
  return Object.fromEntries(entries);
}
