/** The port to the codec of the bodies of batch calls, which an adapter supplies. */

import type { Buffer } from "node:buffer";
import type { CallerRequest } from "../gateway/caller-request.ts";
import type { ItemResult, JobItem } from "./records.ts";

export interface SubmittedItem {
  readonly id: string;
  readonly path: string;
  /** Headers to be passed on, as alternating names and values. */
  readonly headers: readonly string[];
  readonly tokens: number;
  readonly body: Buffer;
}

export interface ResultPage {
  readonly total: number;
  readonly next: number;
  readonly results: readonly ItemResult[];
  readonly itemId: (item: number) => string;
}

export interface JobCodec {
  /** Returns the reason if the body is no batch job. */
  decodeSubmission(body: Buffer): readonly SubmittedItem[] | string;
  encodeResults(page: ResultPage): unknown;
  /** The request by which an item is sent to a server. */
  toRequest(item: JobItem, host: string): CallerRequest;
}
