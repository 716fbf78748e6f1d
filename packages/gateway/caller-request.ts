/**
 * Requests of callers and heads of servers' answers as decoded from the wire, and the interface of
 * the codec, which the adapter for a platform implements.
 */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type {
  InstanceId,
  JobId,
  PromptPartId,
  RequestId,
  WorkspaceId,
} from "../common/ids.ts";
import type { ServerStatement } from "../fleet/server-statement.ts";

export interface CallerRequest {
  /** May be missing only on calls that read or end a batch job. */
  readonly id: RequestId | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Path without the query. */
  readonly path: string;
  readonly apiKey: string | undefined;
  /** How long the caller waits, counted from the arrival of the request. */
  readonly deadlineMilliseconds: number | undefined;
  /** Id of the last event of the stream that the caller has received already. */
  readonly lastEventId: number | undefined;
  /**
   * The parts of the prompt that other requests may have too, in their order: all but the last,
   * which belongs to this request or its session alone.
   */
  readonly sharedPromptParts: readonly PromptPartId[];
  /** The last part of the prompt; a repeated request has it again, under another id. */
  readonly ownPromptPart?: PromptPartId | undefined;
  /** Headers to be passed on to the server, as alternating names and values. */
  readonly forwardedHeaders: readonly string[];
}

/** Values that the system adds to the headers of a request to a server. */
export interface ServerRequestContext {
  /** Time left until the deadline of the caller. */
  readonly remainingMilliseconds: number;
  /** The expected server; another server that has taken over the address refuses the request. */
  readonly server: InstanceId;
  readonly workspace: WorkspaceId | undefined;
  readonly lastEventId: number | undefined;
}

/** The head of a server's answer: its status, and what its headers say. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the request that the server answers. */
  readonly requestId: string | undefined;
  /** The server states that the request did not run. */
  readonly hasNotRun: boolean;
  /** What the server states about itself. */
  readonly statement: ServerStatement;
  /** The answer has the stamp header that servers add to their answers. */
  readonly hasStamp: boolean;
  /** Headers to be passed on to the caller, as alternating names and values. */
  readonly forwardedHeaders: readonly string[];
}

/** A call on an existing batch job; method and path tell its kind. */
export type JobCall =
  | {
    readonly kind: "results";
    readonly job: JobId;
    /** Number of results that the caller has already read. */
    readonly after: number;
    /** How long to wait for a further result, from the arrival of the call. */
    readonly waitMilliseconds: number;
  }
  /** Reads the body of one item; `item` is the item's id within the job. */
  | { readonly kind: "body"; readonly job: JobId; readonly item: string }
  | { readonly kind: "end"; readonly job: JobId }
  | { readonly kind: "malformed"; readonly reason: string };

export interface CallerCodec {
  /** The id of the request for the logs, also if the rest cannot be decoded. */
  decodeRequestId(message: IncomingMessage): RequestId | undefined;
  /** Returns the reason as a text if the request cannot be decoded. */
  decodeRequest(message: IncomingMessage): CallerRequest | string;
  /** The API key, which is read before the rest of the request is decoded. */
  decodeApiKey(message: IncomingMessage): string | undefined;
  /** Returns undefined if the request is no call on a batch job. */
  decodeJobCall(
    request: CallerRequest,
    message: IncomingMessage,
  ): JobCall | undefined;
  /** Headers of a request to a server, as alternating names and values. */
  encodeServerHeaders(
    request: CallerRequest,
    bodyLength: number,
    context: ServerRequestContext,
  ): string[];
  decodeAnswerHead(
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): AnswerHead;
}

/** A request of a caller with its whole body. */
export interface ReceivedRequest {
  readonly request: CallerRequest;
  readonly body: Buffer;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}
