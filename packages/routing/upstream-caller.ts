/** The interface of calls to upstreams. */

import type {
  FileId,
  JobId,
  ModelName,
  RequestId,
  UpstreamName,
  WorkspaceId,
} from "../common/ids.ts";
import type { Route } from "../control/document.ts";

export interface UpstreamRequest {
  readonly upstream: UpstreamName;
  readonly method: string;
  /** Path and query at the upstream. */
  readonly path: string;
  /** Headers to pass on. Keys of callers are removed before this point. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | undefined;
  readonly requestId: RequestId;
  /** Whether the call may be repeated; calls that may not use a fresh connection. */
  readonly isRepeatable: boolean;
  readonly signal?: AbortSignal | undefined;
  /**
   * Called in the turn in which the request is written, after the connection was made; if it
   * throws, nothing is sent and the call fails with its error.
   */
  readonly checkBeforeSend?: (() => void) | undefined;
}

export interface UpstreamResponse {
  readonly upstream: UpstreamName;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Throws an UpstreamError if the answer ends early. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** One attempt at one upstream; throws an UpstreamError with a verdict. */
export interface UpstreamCaller {
  call(request: UpstreamRequest): Promise<UpstreamResponse>;
}

export interface OnlineChatRequest {
  readonly workspace: WorkspaceId;
  readonly model: ModelName;
  readonly body: Uint8Array;
  /** Text that decides prefix affinity. */
  readonly prompt: string;
  readonly isStreamed: boolean;
  readonly requestId: RequestId;
  readonly signal?: AbortSignal | undefined;
  /** Called right before each attempt; throws a CallerError if the request must not start. */
  readonly checkBeforeAttempt: () => void;
}

export interface OnlineRouteRequest {
  readonly route: Route;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | undefined;
  readonly requestId: RequestId;
  readonly signal?: AbortSignal | undefined;
  readonly checkBeforeAttempt: () => void;
}

/** Chooses upstreams for online requests, reports them to capacity and retries. */
export interface OnlineRouter {
  chat(request: OnlineChatRequest): Promise<UpstreamResponse>;
  route(request: OnlineRouteRequest): Promise<UpstreamResponse>;
}

/** One batch item as it is sent to the upstream that its grant names. */
export interface BatchItemCall {
  readonly job: JobId;
  /** For metrics, where it is known. */
  readonly workspace?: WorkspaceId | undefined;
  readonly file: FileId;
  readonly line: number;
  readonly upstream: UpstreamName;
  readonly method: string;
  /** Path in the item, such as /v1/chat/completions or one below a route's prefix. */
  readonly path: string;
  readonly body: Uint8Array;
  readonly requestId: RequestId;
  readonly isRepeatable: boolean;
  readonly signal: AbortSignal;
  /** Called in the turn in which the request is written; see UpstreamRequest. */
  readonly checkBeforeSend?: (() => void) | undefined;
}

/** A complete answer of an upstream to a batch item. */
export interface BatchItemResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Runs one attempt at one batch item; throws an UpstreamError with a verdict. */
export type RunBatchItem = (call: BatchItemCall) => Promise<BatchItemResponse>;
