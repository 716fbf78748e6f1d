import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId, UpstreamName } from "../../common/ids.ts";
import { ServerSpeeds } from "./server-speeds.ts";
import { decodeSpeeds, encodeSpeeds } from "./speed-messages.ts";

const service = "service" as UpstreamName;
const [slow, usual] = ["slow", "usual"] as InstanceId[] as [
  InstanceId,
  InstanceId,
];
const usualPace = 40;

/** Lets one server of two work with the factor from one time to another. */
function observe(
  speeds: ServerSpeeds,
  { from, to, factor, stated }: {
    readonly from: number;
    readonly to: number;
    readonly factor: number;
    readonly stated?: number;
  },
): void {
  const time = (server: InstanceId, milliseconds: number, now: number) =>
    speeds.recordAnswerTime(
      { server, service, kind: "online_pace", milliseconds },
      now,
    );
  for (let now = from; now < to; now += 100) {
    time(usual, usualPace, now);
    time(usual, usualPace, now);
    time(slow, usualPace * factor, now);
    if (stated !== undefined) speeds.recordStated(slow, stated, now);
  }
}

test("a server that becomes slow is known within half a second, and so is its recovery", () => {
  const speeds = new ServerSpeeds();
  const changes: boolean[] = [];
  speeds.onChange(({ isSlow }) => changes.push(isSlow));
  observe(speeds, { from: 0, to: 3_000, factor: 1 });
  assert.equal(speeds.workTime(slow, 3_000), 1);
  observe(speeds, { from: 3_000, to: 3_500, factor: 2.5 });
  assert.ok(speeds.workTime(slow, 3_500) > 1.7);
  assert.equal(speeds.workTime(usual, 3_500), 1);
  const deviating = speeds.deviations(10, 3_500).map(({ server }) => server);
  assert.deepEqual(deviating, [slow]);
  observe(speeds, { from: 3_500, to: 4_300, factor: 1 });
  assert.equal(speeds.workTime(slow, 4_300), 1);
  assert.deepEqual(changes, [true, false]);
});

test("a server that is not observed any more gets requests again", () => {
  const speeds = new ServerSpeeds();
  observe(speeds, { from: 0, to: 3_000, factor: 1 });
  observe(speeds, { from: 3_000, to: 3_500, factor: 2.5 });
  assert.ok(speeds.workTime(slow, 5_500) < 1.3);
});

test("lasting differences between machines are kept between samples", () => {
  const speeds = new ServerSpeeds();
  observe(speeds, { from: 0, to: 10_000, factor: 1.4 });
  assert.ok(speeds.workTime(slow, 12_000) > 1.2);
});

test("the statement of a server counts before its answers have shown its speed", () => {
  const speeds = new ServerSpeeds();
  speeds.recordStated(slow, 250, 0);
  assert.ok(speeds.workTime(slow, 50) > 1.5);
  assert.equal(speeds.workTime(slow, 1_000), 1);
});

test("a server that states untruths is judged by its answers", () => {
  for (const stated of [25, 1_000]) {
    const speeds = new ServerSpeeds();
    observe(speeds, { from: 0, to: 5_000, factor: 1, stated });
    assert.equal(speeds.workTime(slow, 5_000), 1);
    observe(speeds, { from: 5_000, to: 5_600, factor: 2.5, stated });
    assert.ok(speeds.workTime(slow, 5_600) > 1.4);
  }
});

test("other instances learn of servers that differ, and that they no longer do", () => {
  const speeds = new ServerSpeeds();
  const peer = new ServerSpeeds();
  const report = (now: number) => {
    const observations = speeds.takeDeviations(now);
    peer.recordReported(decodeSpeeds(encodeSpeeds(observations)), now, {
      isDependent: false,
    });
    return observations.map(({ server }) => server);
  };
  observe(speeds, { from: 0, to: 3_000, factor: 1 });
  assert.deepEqual(report(3_000), []);
  observe(speeds, { from: 3_000, to: 3_500, factor: 2.5 });
  assert.deepEqual(report(3_500), [slow]);
  assert.ok(peer.workTime(slow, 3_500) > 1.7);
  // What a coordinator reports is not passed on, so that no observation goes in circles.
  assert.deepEqual(peer.takeAllObservations(0), []);
  observe(speeds, { from: 3_500, to: 4_000, factor: 1 });
  assert.deepEqual(report(4_000), [slow]);
  assert.equal(peer.workTime(slow, 4_000), 1);
  assert.deepEqual(report(4_050), []);
});

test("the limit falls if a full server does no more than a half full one, and rises again", () => {
  let requests = 4;
  const slots = 8;
  const speeds = new ServerSpeeds({
    requestsAt: () => requests,
    slotsOf: () => slots,
  });
  observe(speeds, { from: 0, to: 3_000, factor: 1 });
  requests = 8;
  observe(speeds, { from: 3_000, to: 6_000, factor: 1.3 });
  assert.equal(speeds.concurrencyLimit(slow, slots, 6_000), slots);
  observe(speeds, { from: 6_000, to: 8_000, factor: 3 });
  const limit = speeds.concurrencyLimit(slow, slots, 8_000);
  assert.ok(limit < 6.5 && limit >= slots / 2);
  assert.equal(speeds.concurrencyLimit(usual, slots, 8_000), slots);
  assert.ok(speeds.concurrencyLimit(slow, slots, 15_000) > 7.5);
});

test("a server that is as slow with few requests as with many keeps all its slots", () => {
  let requests = 4;
  const slots = 8;
  const speeds = new ServerSpeeds({
    requestsAt: () => requests,
    slotsOf: () => slots,
  });
  observe(speeds, { from: 0, to: 3_000, factor: 2.5 });
  requests = 8;
  observe(speeds, { from: 3_000, to: 6_000, factor: 2.5 });
  assert.equal(speeds.concurrencyLimit(slow, slots, 6_000), slots);
});
