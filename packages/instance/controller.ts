/**
 * Interface of the controllers of an instance. Each controller has a name and one task, which it
 * does with the services and the blackboard until the store is disposed.
 */

import type { DisposableStore } from "../common/disposable-store.ts";
import type { Logger } from "../common/logging.ts";
import type { Blackboard } from "./blackboard.ts";
import type { InstanceServices } from "./services.ts";

export interface ControllerContext {
  readonly blackboard: Blackboard;
  readonly services: InstanceServices;
  readonly logger: Logger;
  /** What a controller adds here is disposed when the instance stops. */
  readonly store: DisposableStore;
}

export interface Controller {
  readonly name: string;
  start(context: ControllerContext): void;
}
