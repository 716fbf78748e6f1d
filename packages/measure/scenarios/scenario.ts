/**
 * Defines the scenarios of the measurements. A scenario runs twice on one fleet with the same
 * arrivals: online requests alone, then online requests with a batch backlog. Its fault occurs in
 * both runs.
 */

import type { ExampleDocument } from "../../demo/example-documents.ts";
import type { Fleet } from "../../demo/fleet.ts";

export interface FaultContext {
  readonly fleet: Fleet;
  readonly durationMilliseconds: number;
  readonly signal: AbortSignal;
  /** Waits, or returns early when the run ends. */
  readonly wait: (milliseconds: number) => Promise<void>;
}

export interface Scenario {
  readonly name: string;
  readonly description: string;
  /** Online load as a share of each workspace's rate, at the given time since the run's start. */
  readonly onlineShareAt: (milliseconds: number) => number;
  /** Maximum that `onlineShareAt` returns. */
  readonly peakOnlineShare: number;
  /** Factor for the load of the first workspace, which may take it above its rate. */
  readonly firstWorkspaceFactor?: number;
  /** Share of the requests that start with one common prompt prefix. */
  readonly hotPrefixShare?: number;
  readonly edit?: (document: ExampleDocument) => void;
  readonly fault?: (context: FaultContext) => Promise<void>;
}
