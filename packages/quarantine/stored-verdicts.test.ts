import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../common/clock.ts";
import type {
  Incarnation,
  InstanceId,
  PromptPartId,
  StreamName,
  UpstreamName,
} from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { MemoryStoreService } from "../store/testing/memory-keyed-store.ts";
import { Quarantine } from "./quarantine.ts";
import { VerdictStore } from "./verdict-store.ts";

const part = "bad" as PromptPartId;
const service = "s" as UpstreamName;

async function until(condition: () => boolean): Promise<void> {
  const limit = performance.now() + 10_000;
  while (!condition()) {
    assert.ok(performance.now() < limit);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

test("a verdict that is stored while an older read of the newest records is under way is kept", async () => {
  const store = new VerdictStore({
    store: new MemoryStoreService().client("one"),
    stream: "quarantine" as StreamName,
    logger: silentLogger,
  });
  const quarantine = new Quarantine({
    network: { handle: () => {}, send: () => {} } as unknown as PeerNetwork,
    coordinators: () => [],
    decides: () => true,
    store,
    instance: "one" as InstanceId,
    incarnation: "i" as Incarnation,
    onCrash: () => {},
    clock: systemClock,
    logger: silentLogger,
  });
  const counts: [UpstreamName, number][] = [[service, 50]];
  quarantine.addBegins({ parts: ["good" as PromptPartId], counts }, {
    isRelayed: false,
  });
  for (let crash = 0; quarantine.verdicts.length === 0; crash++) {
    assert.ok(crash < 10);
    quarantine.reportCrash({
      server: `e${crash}` as InstanceId,
      serverStartedAt: crash,
      service,
      suspects: [{
        request: `r${crash}`,
        sharedPromptParts: [part],
        runMilliseconds: 50,
      }],
    });
    await new Promise((resolve) => setTimeout(resolve, 500));
  }
  await until(() => !store.isWriting(part));
  // The read ended before the verdict was written at offset 0.
  quarantine.applyRecords([], { isSnapshot: true });
  assert.equal(quarantine.verdicts.length, 1);
});
