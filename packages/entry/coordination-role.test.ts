import assert from "node:assert/strict";
import { mock, test } from "node:test";
import {
  roleSettleMaximumMilliseconds,
  roleSettleMilliseconds,
} from "./constants.ts";
import { CoordinationRole } from "./coordination-role.ts";

function createRole() {
  mock.timers.enable({ apis: ["setTimeout"] });
  const state = { isChosen: false, now: 0, changes: [] as boolean[] };
  const role = new CoordinationRole({
    isChosen: () => state.isChosen,
    onChange: (isCoordinator) => state.changes.push(isCoordinator),
    now: () => state.now,
  });
  const advance = (milliseconds: number) => {
    state.now += milliseconds;
    mock.timers.tick(milliseconds);
  };
  return { role, state, advance };
}

test("the role follows the member list once that has settled", (context) => {
  context.after(() => mock.timers.reset());
  const { role, state, advance } = createRole();
  state.isChosen = true;
  role.handleChange({ isSettled: false });
  advance(roleSettleMilliseconds - 1);
  assert.deepEqual(state.changes, []);
  // Another change starts the pause again.
  role.handleChange({ isSettled: false });
  advance(roleSettleMilliseconds - 1);
  assert.deepEqual(state.changes, []);
  advance(1);
  assert.deepEqual(state.changes, [true]);
});

test("an instance that is chosen only for a moment does not take the role", (context) => {
  context.after(() => mock.timers.reset());
  const { role, state, advance } = createRole();
  state.isChosen = true;
  role.handleChange({ isSettled: false });
  advance(roleSettleMilliseconds / 2);
  state.isChosen = false;
  role.handleChange({ isSettled: false });
  advance(roleSettleMaximumMilliseconds);
  assert.deepEqual(state.changes, []);
});

test("an instance that is not chosen knows its role once the list has settled", (context) => {
  context.after(() => mock.timers.reset());
  const { role, state, advance } = createRole();
  role.handleChange({ isSettled: false });
  assert.equal(role.isDecided, false);
  advance(roleSettleMilliseconds);
  assert.equal(role.isDecided, true);
  assert.deepEqual(state.changes, []);
});

test("steady changes of the list do not put the role off for ever", (context) => {
  context.after(() => mock.timers.reset());
  const { role, state, advance } = createRole();
  state.isChosen = true;
  const step = roleSettleMilliseconds / 4;
  for (let at = 0; at <= roleSettleMaximumMilliseconds; at += step) {
    role.handleChange({ isSettled: false });
    advance(step);
  }
  assert.deepEqual(state.changes, [true]);
});

test("an instance that restarts in a running fleet takes its role at once", (context) => {
  context.after(() => mock.timers.reset());
  const { role, state } = createRole();
  state.isChosen = true;
  role.handleChange({ isSettled: true });
  assert.deepEqual(state.changes, [true]);
});
