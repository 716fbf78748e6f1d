/** Reads the status of instances from their metrics ports and waits for published sections. */

import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { z } from "zod";
import { RosemaryrudderError } from "../common/errors.ts";
import { statusPollMilliseconds } from "./constants.ts";

const statusSchema = z.looseObject({
  appliedOffset: z.number().optional(),
  sections: z.record(z.string(), z.number()).default({}),
});
export type InstanceStatus = z.output<typeof statusSchema>;

/** Reads the status of an instance; undefined if it does not answer within 1 s. */
export async function readStatus(
  metricsUrl: string,
): Promise<InstanceStatus | undefined> {
  try {
    const response = await request(`${metricsUrl}/status`, {
      headersTimeout: 1_000,
      bodyTimeout: 1_000,
    });
    const body = await response.body.json();
    return response.statusCode === 200 ? statusSchema.parse(body) : undefined;
  } catch {
    return undefined;
  }
}

export interface WaitForSectionsOptions {
  metricsUrls: readonly string[];
  /** Lowest version that each instance must have applied, by section. */
  versions: Readonly<Record<string, number>>;
  timeoutMilliseconds?: number;
}

/** Waits until all instances have applied at least the given section versions. */
export async function waitForSections(
  { metricsUrls, versions, timeoutMilliseconds = 20_000 }:
    WaitForSectionsOptions,
): Promise<void> {
  const deadline = performance.now() + timeoutMilliseconds;
  for (const metricsUrl of metricsUrls) {
    for (;;) {
      const status = await readStatus(metricsUrl);
      const isApplied = status !== undefined &&
        Object.entries(versions).every(([section, version]) =>
          (status.sections[section] ?? 0) >= version
        );
      if (isApplied) break;
      if (performance.now() > deadline) {
        throw new RosemaryrudderError(
          "sections_not_applied",
          `${metricsUrl} has not applied the document: ${
            JSON.stringify(status?.sections)
          }`,
        );
      }
      await delay(statusPollMilliseconds);
    }
  }
}
