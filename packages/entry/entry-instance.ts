/**
 * An entry instance: the listeners, the followers of the store, the peers and the controllers
 * around one blackboard. Everything that depends on a platform comes in through ports.
 */

import { createServer, type Server } from "node:http";
import { systemClock } from "../common/clock.ts";
import { DisposableStore } from "../common/disposable-store.ts";
import { listenOn } from "../common/listen.ts";
import type { Logger } from "../common/logging.ts";
import { Blackboard } from "../fleet/blackboard.ts";
import { type DocumentCodec, Documents } from "../fleet/documents.ts";
import type { CallerCodec } from "../gateway/caller-request.ts";
import { CallerListener } from "../gateway/caller-listener.ts";
import { initialDurationMilliseconds } from "../gateway/constants.ts";
import { Gateway } from "../gateway/gateway.ts";
import { silentMetrics } from "../gateway/gateway-metrics.ts";
import { ServerPools } from "../gateway/server-pools.ts";
import type { KeyedStore } from "../store/keyed-store.ts";
import { PartitionFollower } from "../store/partition-follower.ts";
import type { EntrySettings } from "./entry-settings.ts";

export interface EntryInstanceOptions {
  readonly settings: EntrySettings;
  readonly store: KeyedStore;
  readonly callerCodec: CallerCodec;
  readonly documentCodec: DocumentCodec;
  readonly logger: Logger;
}

export class EntryInstance {
  readonly #options: EntryInstanceOptions;
  readonly #disposables = new DisposableStore();
  readonly #blackboard = new Blackboard({ initialDurationMilliseconds });

  constructor(options: EntryInstanceOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { settings, logger, store, callerCodec, documentCodec } =
      this.#options;
    const blackboard = this.#blackboard;
    const pools = new ServerPools();
    const documents = new Documents({
      blackboard,
      codec: documentCodec,
      logger,
      clock: systemClock,
      wasStoreAwayAt: () => Number.NEGATIVE_INFINITY,
      onChange: () => {
        listener.applyLimits();
        pools.retain((id) => blackboard.upstreams.get(id) !== undefined);
      },
    });
    const gateway = new Gateway({
      blackboard,
      codec: callerCodec,
      pools,
      limiter: { admit: () => ({ admitted: true }) },
      jobs: {
        submit: (_, __, ___, response) =>
          response.fail({ status: 503, code: "no", message: "no batch" }),
        handle: (_, __, ___, response) =>
          response.fail({ status: 503, code: "no", message: "no batch" }),
      },
      metrics: silentMetrics,
      logger,
      zone: settings.zone,
      displaceBatch: () => {},
    });
    const listener = new CallerListener({
      ...settings.callers,
      limits: () => blackboard.configuration?.configuration.limits,
      isLeaving: () => blackboard.isLeaving,
      handle: (...values) => gateway.handle(...values),
      logger,
    });
    for (
      const [kind, target] of [
        ["configuration", documentCodec.configurationSource],
        ["servers", documentCodec.serverSource],
      ] as const
    ) {
      const follower = new PartitionFollower({
        store,
        target,
        logger,
        onRecords: (records, position, isSnapshot) =>
          documents.accept(kind, records, position, { isSnapshot }),
      });
      follower.start();
      this.#disposables.add(() => follower.stop());
    }
    await listener.listen();
    await this.#listenForReadiness();
    logger.info("the instance has started", {
      instance: settings.instance,
      zone: settings.zone,
    });
  }

  async #listenForReadiness(): Promise<Server> {
    const server = createServer((message, response) => {
      message.resume();
      response.writeHead(this.#blackboard.isReady ? 200 : 503);
      response.end();
    });
    await listenOn(server, this.#options.settings.readiness);
    return server;
  }
}
