/** Interfaces and types of calls to upstreams, for online requests and batch items. */

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
  /** Headers to forward; API keys of callers must have been removed. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | undefined;
  readonly requestId: RequestId;
  /** Whether the call may be repeated; one that may not be repeated uses a new connection. */
  readonly isRepeatable: boolean;
  readonly signal?: AbortSignal | undefined;
  /**
   * Called after the connection is established, in the same event loop turn in which the request
   * is written. If it throws, nothing is sent and the call fails with the error thrown.
   */
  readonly checkBeforeSend?: (() => void) | undefined;
}

export interface UpstreamResponse {
  readonly upstream: UpstreamName;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Throws an UpstreamError if the response ends early. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Makes one attempt at one upstream; throws an UpstreamError with a verdict. */
export interface UpstreamCaller {
  call(request: UpstreamRequest): Promise<UpstreamResponse>;
}

export interface OnlineChatRequest {
  readonly workspace: WorkspaceId;
  readonly model: ModelName;
  readonly body: Uint8Array;
  /** Text whose leading characters determine prefix affinity. */
  readonly prompt: string;
  readonly isStreamed: boolean;
  readonly requestId: RequestId;
  readonly signal?: AbortSignal | undefined;
  /** Called right before each attempt; throws a CallerError if the attempt must not start. */
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

/** Sends online requests to suitable upstreams, counts them towards capacity and retries them. */
export interface OnlineRouter {
  chat(request: OnlineChatRequest): Promise<UpstreamResponse>;
  route(request: OnlineRouteRequest): Promise<UpstreamResponse>;
}

/** One batch item, to be sent to the upstream named by its capacity grant. */
export interface BatchItemCall {
  readonly job: JobId;
  /** Label for metrics; absent if it is not known. */
  readonly workspace?: WorkspaceId | undefined;
  readonly file: FileId;
  readonly line: number;
  readonly upstream: UpstreamName;
  readonly method: string;
  /** Path given in the item: /v1/chat/completions or a path below the prefix of a route. */
  readonly path: string;
  readonly body: Uint8Array;
  readonly requestId: RequestId;
  readonly isRepeatable: boolean;
  readonly signal: AbortSignal;
  /** See {@link UpstreamRequest.checkBeforeSend}. */
  readonly checkBeforeSend?: (() => void) | undefined;
}

/** The complete response of an upstream to a batch item. */
export interface BatchItemResponse {
  readonly status: number;
  /** Parsed JSON, or the text of a body that is not JSON. */
  readonly body: unknown;
}

/** Runs one attempt at one batch item; throws an UpstreamError with a verdict. */
export type RunBatchItem = (call: BatchItemCall) => Promise<BatchItemResponse>;
