/** Starts a fleet and publishes its deployment's example document, in force on all instances. */

import type { Deployment } from "./deployments.ts";
import {
  type PreparedDocument,
  prepareDocument,
  type PrepareOptions,
} from "./example-documents.ts";
import { type Fleet, type FleetOptions, startFleet } from "./fleet.ts";
import { waitForSections } from "./fleet-status.ts";

export interface PublishedFleet {
  readonly fleet: Fleet;
  readonly prepared: PreparedDocument;
}

export interface PublishedFleetOptions extends FleetOptions {
  edit?: PrepareOptions["edit"];
}

export async function startPublishedFleet(
  options: PublishedFleetOptions,
): Promise<PublishedFleet> {
  const fleet = await startFleet(options);
  try {
    const prepared = await publishExample(fleet, options.edit);
    return { fleet, prepared };
  } catch (error) {
    await fleet.dispose();
    throw error;
  }
}

async function publishExample(
  fleet: Fleet,
  edit: PrepareOptions["edit"],
): Promise<PreparedDocument> {
  const { document: template }: Deployment = fleet.plan.deployment;
  const prepared = prepareDocument(fleet.plan, {
    template,
    ...(edit ? { edit } : {}),
  });
  fleet.publisher.setTeamKeys(prepared.teamKeys);
  await fleet.publish(prepared.text);
  const names = Object.keys(prepared.document);
  await waitForSections({
    metricsUrls: fleet.instances
      .filter(({ pid }) => pid !== undefined)
      .map(({ metricsUrl }) => metricsUrl),
    versions: Object.fromEntries(names.map((section) => [section, 1])),
  });
  return prepared;
}
