/** Sends one batch item to its upstream once and reads the complete response. */

import { Buffer } from "node:buffer";
import { type Clock, systemClock } from "../common/clock.ts";
import { UpstreamError } from "../common/errors.ts";
import type { ControlView } from "../control/control-state.ts";
import { chatPath, maximumBufferedResponseBytes } from "./constants.ts";
import { findRoute, upstreamPathOf } from "./routes.ts";
import type {
  BatchItemCall,
  BatchItemResponse,
  RunBatchItem,
  UpstreamCaller,
  UpstreamResponse,
} from "./upstream-caller.ts";
import type { UpstreamHealth } from "./upstream-health.ts";

export interface BatchItemRunnerOptions {
  caller: UpstreamCaller;
  control: ControlView;
  health?: UpstreamHealth;
  /** Largest response body that is accepted. */
  maximumResponseBytes?: number;
  clock?: Clock;
  /** Called with the timing of each complete response, for metrics. */
  onTiming?: (timing: BatchItemTiming) => void;
}

export interface BatchItemTiming {
  readonly call: BatchItemCall;
  /** From the start of the call to the first byte of the response body. */
  readonly firstByteMilliseconds: number;
  /** From the start of the call to the end of the response body. */
  readonly totalMilliseconds: number;
}

export function createBatchItemRunner(
  options: BatchItemRunnerOptions,
): RunBatchItem {
  const { caller, control, health, onTiming, clock = systemClock } = options;
  const maximumBytes = options.maximumResponseBytes ??
    maximumBufferedResponseBytes;
  return async (call) => {
    health?.recordRequestStart(call.upstream);
    const startedAt = clock.monotonicNow();
    const elapsed = () => clock.monotonicNow() - startedAt;
    let firstByteMilliseconds: number | undefined;
    try {
      const response = await caller.call({
        upstream: call.upstream,
        method: call.method,
        path: upstreamPathOfItem(control, call.path),
        headers: {
          "content-type": "application/json",
          accept: "application/json",
        },
        body: call.path === chatPath ? withoutStreaming(call) : call.body,
        requestId: call.requestId,
        isRepeatable: call.isRepeatable,
        signal: call.signal,
        checkBeforeSend: call.checkBeforeSend,
      });
      const itemResponse = await readWholeResponse(
        response,
        maximumBytes,
        () => {
          firstByteMilliseconds ??= elapsed();
        },
      );
      health?.recordSuccess(call.upstream);
      const totalMilliseconds = elapsed();
      onTiming?.({
        call,
        firstByteMilliseconds: firstByteMilliseconds ?? totalMilliseconds,
        totalMilliseconds,
      });
      return itemResponse;
    } catch (error) {
      if (error instanceof UpstreamError) {
        health?.recordFailure(call.upstream, error);
      }
      throw error;
    }
  };
}

/** Returns the path and query to request at the upstream for the path in an item. */
function upstreamPathOfItem(control: ControlView, path: string): string {
  const queryStart = path.indexOf("?");
  const plainPath = queryStart === -1 ? path : path.slice(0, queryStart);
  if (plainPath === chatPath) return path;
  const route = findRoute(control.state.configuration.routes, plainPath);
  if (!route) {
    throw new UpstreamError("unknown_route", `no route for ${plainPath}`, {
      verdict: "not_run",
    });
  }
  const query = queryStart === -1 ? "" : path.slice(queryStart);
  return upstreamPathOf(route, plainPath) + query;
}

/**
 * Returns the body of a chat item without its streaming options. The result of an item is a
 * complete response, so a streamed one is never requested.
 */
function withoutStreaming(call: BatchItemCall): Uint8Array {
  const text = Buffer.from(call.body).toString("utf8");
  if (!text.includes("stream") && !text.includes("\\u")) return call.body;
  try {
    const { stream: _stream, stream_options: _options, ...body } = JSON.parse(
      text,
    );
    return Buffer.from(JSON.stringify(body));
  } catch {
    // The engine rejects an invalid body, and its error response becomes the item's result.
    return call.body;
  }
}

async function readWholeResponse(
  response: UpstreamResponse,
  maximumBytes: number,
  onChunk: () => void,
): Promise<BatchItemResponse> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of response.body) {
    onChunk();
    bytes += chunk.byteLength;
    if (bytes > maximumBytes) {
      throw new UpstreamError(
        "upstream_answer_too_large",
        `the response is larger than ${maximumBytes} bytes`,
        { verdict: "ran" },
      );
    }
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString("utf8");
  const isJson = (response.headers["content-type"] ?? "").includes("json");
  return {
    status: response.status,
    body: isJson ? parseJsonOrText(text) : text,
  };
}

function parseJsonOrText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
