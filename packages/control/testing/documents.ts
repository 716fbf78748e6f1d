/** Creates teams, sections and signed records for tests of the control state. */

import type { Buffer } from "node:buffer";
import { brandAs, type Offset, type WriterId } from "../../common/ids.ts";
import type { StoredRecord } from "../../log/log-client.ts";
import { encodeRecord } from "../../log/record.ts";
import { createTeamKeyPair, signPublish } from "../signing.ts";

export const teamKeys = {
  operations: createTeamKeyPair(),
  north: createTeamKeyPair(),
  south: createTeamKeyPair(),
};
export type TestTeam = keyof typeof teamKeys;

export function platformBody(
  owners: Partial<Record<TestTeam, string[]>> = {
    operations: ["platform"],
    north: ["north"],
    south: ["south"],
  },
) {
  return {
    partitions: 8,
    teams: Object.entries(owners).map(([name, sections]) => ({
      name,
      publicKey: teamKeys[name as TestTeam].publicKey,
      sections,
    })),
    upstreams: [
      {
        name: "engine-1",
        kind: "engine",
        address: "127.0.0.1:9001",
        models: ["m1"],
        concurrency: 4,
      },
      {
        name: "scale-1",
        kind: "plain",
        address: "127.0.0.1:9002",
        concurrency: 2,
      },
    ],
  };
}

export function workspaceBody(id: string) {
  return { id, ratePerSecond: 10, burst: 20 };
}

export function publishEntry(
  team: TestTeam,
  section: string,
  baseVersion: number,
  value: unknown,
  signer: TestTeam = team,
) {
  const content = { section, baseVersion, body: JSON.stringify(value) };
  const signature = signPublish(content, teamKeys[signer].privateKeyPem);
  return { type: "section-published", ...content, team, signature };
}

export function joinedEntry(instance: string, incarnation = `${instance}-1`) {
  return {
    type: "member-joined",
    instance,
    incarnation,
    zone: `zone-${instance.charCodeAt(0) % 2}`,
    host: "127.0.0.1",
    port: 9100,
    metricsUrl: "",
  };
}

export function recordBytes(
  writer: string,
  sequence: number,
  entries: unknown[],
  version = 1,
): Buffer {
  return encodeRecord({
    version,
    writer: brandAs<WriterId>(writer),
    sequence,
    writtenAt: 0,
    entries,
  });
}

/** Assigns consecutive offsets, and log times one second apart, to encoded records. */
export function storeRecords(all: readonly Uint8Array[]): StoredRecord[] {
  return all.map((data, offset) => ({
    offset: brandAs<Offset>(offset),
    time: offset * 1_000,
    data,
  }));
}
