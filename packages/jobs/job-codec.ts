/** Interface of the codec for the bodies of batch job calls; the platform adapter implements it. */

import type { Buffer } from "node:buffer";
import type { CallerRequest } from "../gateway/caller-request.ts";
import type { ItemResult, JobItem } from "./records.ts";

export interface SubmittedItem {
  readonly id: string;
  readonly path: string;
  /** Headers that are sent to the server, as alternating names and values. */
  readonly headers: readonly string[];
  /** Prompt tokens plus the largest number of output tokens. */
  readonly tokens: number;
  readonly body: Buffer;
}

export interface ResultPage {
  /** Number of items in the job. */
  readonly total: number;
  /** Position of the first result after this page. */
  readonly next: number;
  readonly results: readonly ItemResult[];
  readonly itemId: (item: number) => string;
}

export interface JobCodec {
  /** Returns the items, or the reason why the body is not a valid batch job. */
  decodeSubmission(body: Buffer): readonly SubmittedItem[] | string;
  encodeResults(page: ResultPage): unknown;
  /** Builds the request that sends an item to a server. */
  toRequest(item: JobItem, host: string): CallerRequest;
}
