import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { Incarnation, InstanceId, ZoneId } from "../../common/ids.ts";
import { silentLogger } from "../../common/logging.ts";
import { Blackboard } from "../blackboard.ts";
import type { Documents } from "../documents.ts";
import type { FleetLimits } from "../limits/fleet-limits.ts";
import type { DocumentPush } from "./document-push.ts";
import type { Member } from "./members.ts";
import { PeerReports, type ReportNetwork } from "./peer-reports.ts";

const peer = "peer" as InstanceId;
const server = "server" as InstanceId;

/** Creates an instance with one peer and mocked timers; `sent` has the loads of each report. */
function createReports() {
  mock.timers.enable({ apis: ["setTimeout", "Date"] });
  const sent: string[] = [];
  const blackboard = new Blackboard({ initialDurationMilliseconds: 1_000 });
  const member: Member = {
    instance: peer,
    incarnation: "1" as Incarnation,
    zone: "z" as ZoneId,
    host: "127.0.0.1",
    port: 1,
    capacity: 1,
  };
  const handlers: ((report: unknown, sender: unknown) => void)[] = [];
  const network = {
    handle: (_message: unknown, handler: (typeof handlers)[number]) =>
      handlers.push(handler),
    reconnect: () => {},
    send: (_to: InstanceId, _message: unknown, report: { loads: unknown }) =>
      sent.push(JSON.stringify(report.loads)),
  } as unknown as ReportNetwork;
  const reports = new PeerReports({
    network,
    peers: () => [member],
    blackboard,
    documentPush: { push: () => {} } as unknown as DocumentPush,
    documents: { position: () => 0, sweep: () => {} } as unknown as Documents,
    limits: () =>
      ({
        ownUsages: () => [],
        refresh: () => {},
        recordPeerUsages: () => {},
      }) as unknown as FleetLimits,
    jobReport: () => ({
      ownedPartitions: [],
      ownerGeneration: 0,
      waitingItems: 0,
    }),
    quarantine: {
      takeBegins: () => ({ parts: [], counts: [] }),
      addBegins: () => {},
    },
    onServerLimits: () => {},
    onLeavingServers: () => {},
    onColdServers: () => {},
    isStoreFailing: () => false,
    clock: { wallNow: () => Date.now(), monotonicNow: () => Date.now() },
    logger: silentLogger,
  });
  reports.start();
  handlers[0]!(
    {
      sequence: 1,
      heard: 0,
      configurationPosition: 0,
      serversPosition: 0,
      loads: [],
      faults: [],
      uses: [],
      serverLimits: [],
      leavingServers: [],
      coldServers: [],
      speeds: [],
      serverUses: [],
    },
    { instance: peer, incarnation: "1" },
  );
  return { blackboard, sent, reports };
}

test("changed loads are reported within 50 ms, unchanged loads at a longer interval", () => {
  const { blackboard, sent, reports } = createReports();
  try {
    mock.timers.tick(900);
    const unchangedReports = sent.length;
    assert.ok(
      unchangedReports >= 2 && unchangedReports <= 7,
      `${unchangedReports} reports`,
    );
    blackboard.loads.addRequest(server, "online");
    mock.timers.tick(50);
    blackboard.loads.removeRequest(server, "online");
    mock.timers.tick(50);
    assert.deepEqual(sent.slice(unchangedReports), [
      JSON.stringify([[server, 1, 0]]),
      "[]",
    ]);
  } finally {
    reports.stop();
    mock.timers.reset();
  }
});
