import assert from "node:assert/strict";
import { test } from "node:test";
import { dependentReportMessage } from "./messages.ts";

// Guards against a coordinator that counts up to the number of a malformed report for ever.
test("counts of a report beyond any use are bounded", () => {
  const report = dependentReportMessage.parseRequest({
    settledQuestion: 0,
    loads: [["a", 1e300], ["b", -3], ["c", 2]],
    failures: [["a", 1e300]],
    unsent: [["a", 1e300]],
    configurationPosition: 0,
    serversPosition: 0,
    isStoreFailing: false,
  });
  const maximum = 100_000;
  assert.deepEqual(report.loads, [["a", maximum], ["b", 0], ["c", 2]]);
  assert.deepEqual(report.failures, [["a", maximum]]);
  assert.deepEqual(report.unsent, [["a", maximum]]);
});
