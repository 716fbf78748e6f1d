/** Controllers act on the blackboard. Each has one task and is registered under its name. */

import type { DisposableStore } from "../common/disposable-store.ts";
import type { Logger } from "../common/logging.ts";
import type { Blackboard } from "./blackboard.ts";
import type { InstanceServices } from "./services.ts";

export interface ControllerContext {
  readonly blackboard: Blackboard;
  readonly services: InstanceServices;
  readonly logger: Logger;
  readonly store: DisposableStore;
}

export interface Controller {
  readonly name: string;
  start(context: ControllerContext): void;
}
