import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId } from "../common/ids.ts";
import { LoadTable } from "./load-table.ts";

const server = "s" as InstanceId;
const peer = "p" as InstanceId;
const other = "q" as InstanceId;

test("the load of a server is the sum of what all instances report", () => {
  const loads = new LoadTable();
  loads.addRequest(server, "online");
  loads.setPeerLoads(peer, [{ server, online: 2, batch: 1 }], 0);
  loads.setPeerLoads(other, [{ server, online: 1, batch: 3 }], 0);
  assert.deepEqual(loads.estimate(server, 0), { online: 4, batch: 4 });
  assert.deepEqual(loads.peersWithBatchRuns(server), [other, peer]);
});

test("a new report replaces the last one, and the report of a silent peer expires", () => {
  const loads = new LoadTable();
  loads.setPeerLoads(peer, [{ server, online: 5, batch: 0 }], 0);
  loads.setPeerLoads(peer, [{ server, online: 1, batch: 0 }], 100);
  assert.equal(loads.estimate(server, 100).online, 1);
  loads.expire(5_000);
  assert.equal(loads.estimate(server, 5_000).online, 0);
});

test("a server's self-reported load counts callers that send no reports", () => {
  const loads = new LoadTable();
  loads.addRequest(server, "online");
  loads.setSelfReportedLoad(server, 6, 0);
  assert.equal(loads.estimate(server, 10).online, 6);
  loads.removeRequest(server, "online");
  assert.equal(loads.estimate(server, 10).online, 5);
  assert.equal(loads.estimate(server, 10_000).online, 0);
});
