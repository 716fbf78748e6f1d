/** Parses the deadline of a batch, given as a completion window from now or as a timestamp. */

import {
  maximumCompletionWindowMilliseconds,
  minimumCompletionWindowMilliseconds,
} from "../constants.ts";
import { invalidField, missingField } from "../errors/error-response.ts";

const unitMilliseconds: Record<string, number> = {
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

/** Deadline in wall-clock milliseconds; throws a CallerError if it is invalid or out of bounds. */
export function parseDeadline(
  body: { completion_window?: unknown; deadline?: unknown },
  now: number,
): number {
  if (body.deadline !== undefined && body.deadline !== null) {
    return checkDeadline(parseTimestamp(body.deadline), now, "deadline");
  }
  const window = body.completion_window;
  if (window === undefined || window === null) {
    throw missingField("completion_window");
  }
  return checkDeadline(now + parseWindow(window), now, "completion_window");
}

function parseWindow(window: unknown): number {
  const match = typeof window === "string"
    ? /^([0-9]{1,9})([smhd])$/.exec(window)
    : null;
  if (!match) {
    throw invalidField(
      "completion_window",
      "must be a number with the unit s, m, h or d, such as '24h'",
    );
  }
  return Number(match[1]) * (unitMilliseconds[match[2] ?? ""] ?? 0);
}

const isoTimePattern =
  /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(?::\d{2}(?:\.\d+)?)?(?:Z|[+-]\d{2}:\d{2})$/;

/** Accepts Unix seconds or an ISO 8601 time; returns wall-clock milliseconds. */
function parseTimestamp(value: unknown): number {
  if (typeof value === "number" && Number.isFinite(value)) {
    return value * 1_000;
  }
  const time = typeof value === "string" && isoTimePattern.test(value)
    ? Date.parse(value)
    : NaN;
  if (Number.isNaN(time)) {
    throw invalidField(
      "deadline",
      "must be an ISO 8601 time with a UTC offset, such as '2026-01-31T05:00:00Z', or Unix seconds",
    );
  }
  return time;
}

function checkDeadline(deadline: number, now: number, field: string): number {
  if (deadline - now < minimumCompletionWindowMilliseconds) {
    throw invalidField(field, "must be at least 1 second from now");
  }
  if (deadline - now > maximumCompletionWindowMilliseconds) {
    throw invalidField(field, "must be at most 7 days from now");
  }
  return Math.round(deadline);
}
