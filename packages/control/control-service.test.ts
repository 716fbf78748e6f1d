/** An instance follows the log, joins, and is fresh only while it can read the log. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type ZoneId,
} from "../common/ids.ts";
import { ControlService } from "./control-service.ts";
import { MemoryLog } from "./testing/memory-log.ts";

test("a join whose answer was lost makes one member", async () => {
  const client = new MemoryLog();
  client.lostAnswers = 1;
  const service = new ControlService({
    identity: {
      instance: brandAs<InstanceId>("a"),
      zone: brandAs<ZoneId>("z1"),
      host: "127.0.0.1",
      port: 1,
      metricsUrl: "http://127.0.0.1:2",
    },
    incarnation: brandAs<Incarnation>("a-1"),
    client,
    network: { send() {}, request: () => Promise.reject(), handle() {} },
  });
  assert.equal(service.isFresh(), false);
  service.start();
  await service.waitUntilCaughtUp();
  await service.join();
  assert.equal(client.appends, 2);
  assert.equal(service.state.members.size, 1);
  assert.equal(service.state.membershipOffset, 0);
  assert.equal(service.isFresh(), true);
  await service.stop();
});
