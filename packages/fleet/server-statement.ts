/** What a server states about itself in the head of an answer, whatever the answer is to. */

export interface ServerStatement {
  /** Requests that run or wait at the server; undefined if it does not say. */
  readonly load: number | undefined;
  /**
   * How long work takes at the server at this moment, in percent of its usual time; undefined if it
   * does not say. Servers that share their machine with others change it many times a second.
   */
  readonly workTimePercent: number | undefined;
  /**
   * Requests per second that the server takes from all instances together; null if it states that
   * it has no limit, undefined if the answer says nothing of it.
   */
  readonly limitPerSecond: number | null | undefined;
  /** The server is leaving and takes no new requests; undefined if the answer says nothing of it. */
  readonly isLeaving: boolean | undefined;
  /** What could not be decoded and therefore states nothing, for the logs. */
  readonly malformed: readonly string[];
}

/** When a statement was made, as far as the instance that received it knows. */
export interface StatementEvidence {
  /** Id of the request that was answered. */
  readonly requestId: string;
  /** When that request was sent; monotonic milliseconds. The server spoke after it. */
  readonly sentAt: number;
  /** When the head of the answer arrived; monotonic milliseconds. The server spoke before it. */
  readonly statedAt: number;
}
