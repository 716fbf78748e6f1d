/**
 * Time limits within which connections that have gone silent are noticed. All of them are shares
 * of one bound, the reaction time: the shortest time within which a change in the store must take
 * effect at every instance.
 */

export interface ConnectionTimings {
  /** Longest wait of a long poll for changes that are subject to the reaction time. */
  readonly pollWaitMilliseconds: number;
  /**
   * Time without a response, beyond the wait that the call asks for, after which the connection of
   * a call is suspected. Responses of the store take about 4 ms.
   */
  readonly suspicionMilliseconds: number;
  /**
   * The same for the answer of a server to a request, which begins later since a server runs the
   * request and may queue it.
   */
  readonly serverSuspicionMilliseconds: number;
  /**
   * Interval in which a peer or a server must be heard while it owes responses, and in which a
   * suspicion that was not confirmed is not checked again.
   */
  readonly checkIntervalMilliseconds: number;
}

export const defaultReactionMilliseconds = 2_000;
/** Below this, a suspicion could not be told from a pause of a small machine's processor. */
const minimumReactionMilliseconds = 1_000;
/** Above this, long polls would be longer than the freshness of the documents needs. */
const maximumReactionMilliseconds = 2_400;
/**
 * A silent poll is noticed after the shares of wait and suspicion together, which leaves a quarter
 * of the bound for reading the change on a new connection and applying it. A share of 0.5 made 13 %
 * more calls in a fleet of 11 instances without traffic.
 */
const pollWaitShare = 0.6;
const suspicionShare = 0.15;
const serverSuspicionShare = 0.3;
const checkIntervalShare = 0.5;

export function deriveConnectionTimings(
  reactionMilliseconds = defaultReactionMilliseconds,
): ConnectionTimings {
  const reaction = Math.min(
    Math.max(reactionMilliseconds, minimumReactionMilliseconds),
    maximumReactionMilliseconds,
  );
  return {
    pollWaitMilliseconds: Math.round(reaction * pollWaitShare),
    suspicionMilliseconds: Math.round(reaction * suspicionShare),
    serverSuspicionMilliseconds: Math.round(reaction * serverSuspicionShare),
    checkIntervalMilliseconds: Math.round(reaction * checkIntervalShare),
  };
}
