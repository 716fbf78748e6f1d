/** Sends reports of crashes to the coordinators. */

import type { InstanceId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { delay, type Timers } from "../common/timers.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import {
  reportRetryMilliseconds,
  reportTimeoutMilliseconds,
  reportTries,
} from "./constants.ts";
import type { CrashReport } from "./crash-evidence.ts";
import { crashMessage } from "./messages.ts";

export interface CrashReportServices {
  readonly network: PeerNetwork;
  readonly timers: Timers;
  readonly logger: Logger;
}

/** Sends the report to a coordinator, again after a failure. */
export async function sendCrashReport(
  coordinator: InstanceId,
  report: CrashReport,
  { network, timers, logger }: CrashReportServices,
): Promise<void> {
  for (let tries = 1; tries <= reportTries; tries++) {
    try {
      await network.request(coordinator, crashMessage, report, {
        deadlineMilliseconds: reportTimeoutMilliseconds,
      });
      return;
    } catch (error) {
      logger.warn("a report of a crash was not received", {
        coordinator,
        tries,
        reason: String(error),
      });
      await delay(timers, reportRetryMilliseconds);
    }
  }
}
