/**
 * Scenarios of the measurements. A scenario runs twice in one fleet with the same arrivals: online
 * requests alone, then online requests beside a batch backlog. Its fault comes in both runs.
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
  /** Online rate as a share of each workspace's rate, at a time since the start of the run. */
  readonly onlineShareAt: (milliseconds: number) => number;
  readonly peakOnlineShare: number;
  /** Factor on the rate of the first workspace, which may go beyond its entitlement. */
  readonly firstWorkspaceFactor?: number;
  /** Share of the requests that begin with one common prompt prefix. */
  readonly hotPrefixShare?: number;
  readonly edit?: (document: ExampleDocument) => void;
  readonly fault?: (context: FaultContext) => Promise<void>;
}
