/** Orders the engines that this instance coordinates to load the models that the document names. */

import { hashNumber } from "../../common/hashing.ts";
import { SeededRandom } from "../../common/random.ts";
import { ownerOf } from "../../control/owners.ts";
import { EngineModelReconciler } from "../../routing/engine-model-reconciler.ts";
import { EngineOrders } from "../../routing/engine-orders.ts";
import type { Controller } from "../controller.ts";

export const engineOrderController: Controller = {
  name: "engine-orders",
  start({ blackboard, services, logger, store }) {
    const { control, caller, directory } = services;
    const orders = new EngineOrders({
      control,
      caller,
      instance: blackboard.instance,
      incarnation: () => blackboard.incarnation,
      ownerOf: (state, upstream) => ownerOf(state, `capacity/${upstream}`),
    });
    store.add(() => orders.stop());
    const random = new SeededRandom(hashNumber(blackboard.incarnation) | 0);
    const models = new EngineModelReconciler({
      control,
      caller,
      orders,
      isLive: (engine) => directory.isLive(engine),
      random: () => random.next(),
      logger,
    });
    models.start();
    store.add(() => models.stop());
  },
};
