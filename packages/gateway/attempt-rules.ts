/**
 * The rules of one attempt at a server that need no state: how long the server may be silent, and
 * whether the head of its answer makes the attempt a failure.
 */

import type { RouteRule } from "../fleet/configuration.ts";
import type { AnswerHead } from "./caller-request.ts";
import {
  bodyIdleTimeoutObjectives,
  headTimeoutObjectives,
  minimumBodyIdleTimeoutMilliseconds,
  minimumHeadTimeoutMilliseconds,
} from "./constants.ts";
import type { ChoiceRequest } from "./online-services.ts";
import type { AttemptFailure, AttemptOptions } from "./server-attempt.ts";

export type AttemptTimeouts = Pick<
  AttemptOptions,
  "headTimeoutMilliseconds" | "bodyIdleTimeoutMilliseconds"
>;

export interface AttemptRules {
  readonly route: RouteRule;
  /** Time left until the deadline of the request. */
  readonly remainingMilliseconds: number;
  /** The request may go to another server although it may have run at this one. */
  readonly mayMove: boolean;
}

/** Added to the remaining time, so that a timeout does not expire before the deadline. */
const afterDeadlineMilliseconds = 1_000;

/** Timeouts of a silent server; they never expire if the request may not move on. */
export function attemptTimeouts(
  { route, remainingMilliseconds, mayMove }: AttemptRules,
): AttemptTimeouts {
  const noTimeout = remainingMilliseconds + afterDeadlineMilliseconds;
  if (!mayMove) {
    return {
      headTimeoutMilliseconds: noTimeout,
      bodyIdleTimeoutMilliseconds: noTimeout,
    };
  }
  return {
    headTimeoutMilliseconds: Math.max(
      minimumHeadTimeoutMilliseconds,
      headTimeoutObjectives * route.latencyObjectiveMilliseconds,
    ),
    bodyIdleTimeoutMilliseconds: route.kind === "streaming"
      ? Math.max(
        minimumBodyIdleTimeoutMilliseconds,
        bodyIdleTimeoutObjectives * route.pauseObjectiveMilliseconds,
      )
      : noTimeout,
  };
}

/** The failure that the head of an answer means; undefined if the answer is passed on. */
export function failureOfHead(
  head: AnswerHead,
  { mayMove, hasBegun }: {
    readonly mayMove: boolean;
    /** A part of the answer has been passed on to the caller already. */
    readonly hasBegun: boolean;
  },
): AttemptFailure | undefined {
  if (head.hasNotRun) {
    return {
      verdict: "not_run",
      reason: `the server refused with status ${head.status}`,
      isServerFault: false,
    };
  }
  if (head.status < 300 && !head.hasStamp) {
    return {
      verdict: "unknown",
      reason: "the answer has no server stamp",
      isServerFault: true,
    };
  }
  if (head.status >= 500 && mayMove) {
    return {
      verdict: "ran",
      reason: `the server failed with status ${head.status}`,
      isServerFault: true,
    };
  }
  if (hasBegun && head.status !== 200) {
    return {
      verdict: "ran",
      reason: `the server answered a resumed stream with status ${head.status}`,
      isServerFault: false,
    };
  }
  return undefined;
}

/** True if requests of the route may be sent again although they may have run. */
export function mayRunAgain(
  { kind, isResumable }: Pick<RouteRule, "kind" | "isResumable">,
): boolean {
  return kind === "idempotent" || (kind === "streaming" && isResumable);
}

/** The server crashed while only the end of the connection could end its answer. */
export const crashBeforeEndFailure: AttemptFailure = {
  verdict: "ran",
  reason: "the server crashed before the end of its answer",
  isServerFault: true,
  isConnectionBroken: true,
};

/** A request moves on. A server with a free slot should have begun; a full one is only busy. */
export function roomElsewhereFailure(isServerIdle: boolean): AttemptFailure {
  return {
    verdict: "unknown",
    reason: "the server has not begun to answer and another has a free slot",
    isServerFault: isServerIdle,
    isMove: true,
  };
}

/** How long a request may wait for a slot, by what its caller still gains from an answer. */
export function waitToleranceOf(
  possibleRuns: number,
  isLikelyRetry: boolean,
): ChoiceRequest["waitTolerance"] {
  if (possibleRuns > 0) return "any";
  return isLikelyRetry ? "late" : "in_time";
}
