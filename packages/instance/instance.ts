/**
 * One instance: starts its services in order and shuts them down gracefully. In a shutdown,
 * readiness fails first, requests in flight finish and owned work is handed over; only then
 * does the instance leave the fleet.
 */

import { DisposableStore } from "../common/disposable-store.ts";
import type { Logger } from "../common/logging.ts";
import { OperatorServer } from "../http/operators/operator-server.ts";
import { CallerServer } from "../http/server/caller-server.ts";
import { type Blackboard, createBlackboard } from "./blackboard.ts";
import type { Controller } from "./controller.ts";
import { engineOrderController } from "./controllers/engine-order-controller.ts";
import { peerController } from "./controllers/peer-controller.ts";
import { usageController } from "./controllers/usage-controller.ts";
import { createIncarnation } from "./incarnation.ts";
import { createServices, type InstanceServices } from "./services.ts";
import type { InstanceSettings } from "./settings.ts";
import { describeReadiness, describeStatus } from "./status.ts";

export const controllers: readonly Controller[] = [
  peerController,
  usageController,
  engineOrderController,
];

export interface InstanceOptions {
  settings: InstanceSettings;
  logger: Logger;
  /** Shuts down the program gracefully. */
  requestStop: () => void;
}

/** Exit status of a shutdown that closed connections still in use at the drain limit. */
const forcedExitStatus = 1;

export class Instance {
  readonly #settings: InstanceSettings;
  readonly #logger: Logger;
  readonly #requestStop: () => void;
  readonly #store = new DisposableStore();
  readonly #blackboard: Blackboard;
  #services: InstanceServices | undefined;
  #callerServer: CallerServer | undefined;
  #stopResult: Promise<number> | undefined;

  constructor({ settings, logger, requestStop }: InstanceOptions) {
    this.#settings = settings;
    this.#requestStop = requestStop;
    this.#logger = logger.child({ instance: settings.instance });
    this.#blackboard = createBlackboard({
      instance: settings.instance,
      zone: settings.zone,
      incarnation: createIncarnation(),
    });
    this.#blackboard.metricsPort = settings.metricsPort;
  }

  async start(): Promise<void> {
    const blackboard = this.#blackboard;
    const services = await createServices({
      settings: this.#settings,
      blackboard,
      logger: this.#logger,
      store: this.#store,
      requestStop: this.#requestStop,
    });
    this.#services = services;
    for (const controller of controllers) {
      controller.start({
        blackboard,
        services,
        logger: this.#logger,
        store: this.#store,
      });
    }
    await this.#openOperatorServer(services);
    services.control.start();
    await services.control.waitUntilCaughtUp();
    await services.control.join();
    await services.startServing();
    await this.#openCallerServer(services);
    if (blackboard.phase === "starting") blackboard.phase = "serving";
    this.#logger.info("serving", {
      callerPort: blackboard.callerPort,
      metricsPort: blackboard.metricsPort,
      peerPort: blackboard.peerPort,
    });
  }

  /** Shuts down gracefully; resolves with the exit status. Later calls return the same promise. */
  stop(): Promise<number> {
    this.#stopResult ??= this.#stop();
    return this.#stopResult;
  }

  async #openOperatorServer(services: InstanceServices): Promise<void> {
    const blackboard = this.#blackboard;
    const server = new OperatorServer({
      host: this.#settings.metricsHost,
      port: this.#settings.metricsPort,
      metrics: services.metrics,
      readiness: () => describeReadiness(blackboard, services),
      status: () => describeStatus(blackboard, services),
      logger: this.#logger,
    });
    blackboard.metricsPort = await server.listen();
    this.#store.add(() => server.close());
  }

  async #openCallerServer(services: InstanceServices): Promise<void> {
    const server = new CallerServer({
      host: this.#settings.callerHost,
      port: this.#settings.callerPort,
      control: services.control,
      limiter: services.limiter,
      router: services.router,
      batch: services.batch,
      metrics: services.metrics,
      logger: this.#logger,
    });
    this.#blackboard.callerPort = await server.listen();
    this.#callerServer = server;
    this.#store.add(() => server.close());
  }

  async #stop(): Promise<number> {
    const startedAt = Date.now();
    this.#blackboard.phase = "draining";
    const drained = this.#drain().then(() => 0);
    const drainLimit = new Promise<number>((resolve) => {
      const timer = setTimeout(
        () => resolve(forcedExitStatus),
        this.#settings.drainLimitMilliseconds,
      );
      this.#store.add(() => clearTimeout(timer));
    });
    const status = await Promise.race([drained, drainLimit]);
    this.#blackboard.phase = "stopped";
    await this.#store.dispose();
    this.#logger.info("stopped", {
      status,
      milliseconds: Date.now() - startedAt,
    });
    return status;
  }

  async #drain(): Promise<void> {
    const services = this.#services;
    if (!services) return;
    const announcement = services.control.announceLeaving().catch((error) => {
      this.#logger.warn("failed to announce that the instance is leaving", {
        reason: String(error),
      });
    });
    await Promise.all([
      this.#drainCallers(),
      announcement.then(() => services.batch.release()),
    ]);
    await services.control.leave().catch((error) => {
      this.#logger.warn("failed to record that the instance has left", {
        reason: String(error),
      });
    });
  }

  async #drainCallers(): Promise<void> {
    const callerServer = this.#callerServer;
    if (!callerServer) return;
    await callerServer.stopAccepting({
      delayMilliseconds: this.#settings.drainDelayMilliseconds,
    });
    await callerServer.whenIdle();
  }
}
