import type { Offset } from "../../common/ids.ts";

/** The state that a dependent without requests reports to its coordinator. */
export const idleState = {
  loads: [],
  failures: [],
  begun: { parts: [], counts: [] },
  serverLimits: [],
  leavingServers: [],
  coldServers: [],
  speeds: [],
  unsent: [],
  configurationPosition: 0 as Offset,
  serversPosition: 0 as Offset,
  isStoreFailing: false,
};
