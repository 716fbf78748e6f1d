/**
 * A request of a caller and the answers of servers, decoded from the wire, and the port to the
 * codec that an adapter supplies.
 */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type {
  InstanceId,
  JobId,
  RequestId,
  WorkspaceId,
} from "../common/ids.ts";

export interface CallerRequest {
  /** Calls that read or end a batch job need no id. */
  readonly id: RequestId | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query, as they were sent. */
  readonly target: string;
  /** Path without the query. */
  readonly path: string;
  readonly apiKey: string | undefined;
  /** How long the caller waits, from the arrival of the request. */
  readonly deadlineMilliseconds: number | undefined;
  /** The caller has the events up to this one. */
  readonly lastEventId: number | undefined;
  /** Headers to be passed on, as alternating names and values. */
  readonly forwardedHeaders: readonly string[];
}

/** What the system adds to a request that it sends to a server. */
export interface ServerRequestContext {
  readonly remainingMilliseconds: number;
  readonly server: InstanceId;
  readonly workspace: WorkspaceId | undefined;
  readonly lastEventId: number | undefined;
}

/** What the head of a server's answer says beside status and headers. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the request that the server answers. */
  readonly requestId: string | undefined;
  /** The server states that the request did not run. */
  readonly hasNotRun: boolean;
  /** Requests that run or wait at the server, if it says. */
  readonly load: number | undefined;
  /** The answer bears the mark of a server. */
  readonly hasStamp: boolean;
  /** Headers to be passed back, as alternating names and values. */
  readonly forwardedHeaders: readonly string[];
}

/** A call on a batch job, told apart by method and path. */
export type JobCall =
  | {
    readonly kind: "results";
    readonly job: JobId;
    readonly after: number;
    readonly waitMilliseconds: number;
  }
  | { readonly kind: "body"; readonly job: JobId; readonly item: string }
  | { readonly kind: "end"; readonly job: JobId }
  | { readonly kind: "malformed"; readonly reason: string };

export interface CallerCodec {
  /** Returns the reason if the request cannot be decoded. */
  decodeRequest(message: IncomingMessage): CallerRequest | string;
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

export interface ReceivedRequest {
  readonly request: CallerRequest;
  readonly body: Buffer;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}
