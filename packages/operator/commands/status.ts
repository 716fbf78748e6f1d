/** Command `status`: shows which versions of the sections each member has applied. */

import { request } from "undici";
import { z } from "zod";
import type { Member } from "../../control/control-state.ts";
import type { ReducedControlState } from "../../control/reduced-state.ts";
import { defineCommand } from "../command.ts";
import { mapInParallel } from "../parallel.ts";
import { statusParallelism, statusTimeoutMilliseconds } from "../constants.ts";
import { ControlLog } from "../control-log.ts";

const statusResponseSchema = z.object({
  incarnation: z.string().optional(),
  isFresh: z.boolean().optional(),
  appliedOffset: z.number(),
  sections: z.record(z.string(), z.number()),
});

interface MemberStatus {
  readonly instance: string;
  readonly zone: string;
  readonly state: Member["state"];
  readonly reachable: boolean;
  readonly fresh: boolean | null;
  readonly appliedOffset: number | null;
  readonly sections: Readonly<Record<string, number>>;
  /** Names of sections whose current version the member has not applied yet. */
  readonly behind: readonly string[];
}

export const statusCommand = defineCommand({
  usage: "status",
  description: "Show which section versions each member has applied",
  options: {
    json: { type: "boolean", default: false, description: "Print JSON" },
  },
  flags: z.object({ json: z.boolean() }),
  run: async (context, { json }) => {
    const log = new ControlLog(
      context.openLog(),
      context.settings.timeoutSeconds,
    );
    await log.refresh();
    const { state } = log;
    const members = await mapInParallel(
      [...state.members.values()],
      statusParallelism,
      (member) => queryMember(member, state),
    );
    const versions = Object.fromEntries(state.configuration.sectionVersions);
    if (json) {
      const { appliedOffset } = state;
      context.print(
        JSON.stringify({ appliedOffset, sections: versions, members }),
      );
    } else {
      context.print(`log: ${formatVersions(versions)}`);
      for (const member of members) context.print(describeMember(member));
    }
    const isUpToDate = members.every(({ reachable, behind }) =>
      reachable && behind.length === 0
    );
    return isUpToDate ? 0 : 1;
  },
});

async function queryMember(
  { instance, zone, state, metricsUrl }: Member,
  controlState: ReducedControlState,
): Promise<MemberStatus> {
  const member = { instance, zone, state };
  const response = await fetchStatus(metricsUrl);
  const sections = response?.sections ?? {};
  const behind = [...controlState.configuration.sectionVersions]
    .filter(([name, version]) => (sections[name] ?? 0) < version)
    .map(([name]) => name);
  return {
    ...member,
    reachable: response !== undefined,
    fresh: response?.isFresh ?? null,
    appliedOffset: response?.appliedOffset ?? null,
    sections,
    behind,
  };
}

async function fetchStatus(metricsUrl: string) {
  try {
    const response = await request(new URL("/status", metricsUrl), {
      signal: AbortSignal.timeout(statusTimeoutMilliseconds),
    });
    const parsed = statusResponseSchema.safeParse(await response.body.json());
    return response.statusCode === 200 ? parsed.data : undefined;
  } catch {
    // Members that do not respond are shown as unreachable.
    return undefined;
  }
}

function describeMember(member: MemberStatus): string {
  const { instance, zone, state, reachable, fresh, sections, behind } = member;
  if (!reachable) return `${instance} (${zone}, ${state}): unreachable`;
  const details = [
    state,
    ...(fresh === false ? ["not fresh"] : []),
    ...(behind.length > 0 ? [`behind: ${behind.join(", ")}`] : []),
  ].join(", ");
  return `${instance} (${zone}, ${details}): ${formatVersions(sections)}`;
}

function formatVersions(sections: Readonly<Record<string, number>>): string {
  const parts = Object.entries(sections).map(([name, version]) =>
    `${name} ${version}`
  );
  return parts.length === 0 ? "no sections" : parts.join(", ");
}
