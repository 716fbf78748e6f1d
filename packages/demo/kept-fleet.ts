/** Describes a running fleet for the JSON line that `--keep` prints. */

import type { Fleet } from "./fleet.ts";
import type { PreparedDocument } from "./example-documents.ts";

export function describeFleet(
  fleet: Fleet,
  prepared: PreparedDocument,
): object {
  const routes = Object.values(prepared.document).flatMap((section) =>
    section.routes ?? []
  );
  return {
    ready: true,
    instances: fleet.instances.map(({ url, metricsUrl, pid, zone }) => ({
      url,
      metricsUrl,
      pid,
      zone,
    })),
    upstreams: fleet.upstreams.map(({ id, kind, url, pid }) => ({
      name: id,
      kind,
      url,
      pid,
      // An upstream is repeatable only if no route to it forbids repetition.
      repeatable: routes.every((route) =>
        !route.upstreams.includes(id) || route.repeatable === true
      ),
    })),
    log: fleet.log,
    workspaces: prepared.workspaces.map((
      { id, key, ratePerSecond, burst },
    ) => ({ id, key, ratePerSecond, burst })),
    models: fleet.plan.deployment.models,
    document: fleet.publisher.documentPath,
    publish: fleet.publisher.command,
  };
}
