/**
 * Keeps the configuration and the list of servers on the blackboard up to date. Records come
 * from the store or, where the store cannot be reached, from peers. The record with the higher
 * offset is the newer one, and the version of the configuration never decreases.
 */

import type { Clock } from "../common/clock.ts";
import type { InstanceId, Offset, ZoneId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { KeyedRecord, StreamPartition } from "../store/keyed-store.ts";
import type { Blackboard } from "./blackboard.ts";
import {
  ConfigurationIndex,
  type FleetConfiguration,
} from "./configuration.ts";
import {
  briefFailureGraceMilliseconds,
  minimumOutageMilliseconds,
  serverEntryGraceMilliseconds,
} from "./constants.ts";
import { KeyedTable } from "./keyed-table.ts";
import { coldMessage } from "./server-statements.ts";
import type { UpstreamServer } from "./upstreams.ts";

/** Decodes the records that operators and servers write; supplied by an adapter. */
export interface DocumentCodec {
  readonly configurationSource: StreamPartition;
  readonly serverSource: StreamPartition;
  /** Undefined if the record is not about the configuration; throws if it is invalid. */
  decodeConfiguration(record: KeyedRecord): FleetConfiguration | undefined;
  /** The zone whose evacuation the record is about; undefined if it is about something else. */
  decodeEvacuation(record: KeyedRecord): ZoneId | undefined;
  /** Throws if the record does not describe a usable server. */
  decodeServer(record: KeyedRecord): UpstreamServer;
}

/** A time without a successful read, in monotonic milliseconds. */
export interface StoreFailure {
  readonly beganAt: number;
  /** Time of the last failed read. */
  readonly lastAt: number;
}

export type DocumentKind = "configuration" | "servers";

export interface DocumentsOptions {
  readonly blackboard: Blackboard;
  readonly codec: DocumentCodec;
  readonly logger: Logger;
  readonly clock: Clock;
  /**
   * The last failure of the store for this instance, if any. An entry that disappears shortly
   * afterwards may be written again.
   */
  readonly lastStoreFailure: () => StoreFailure | undefined;
  /** Called for each server entry that cannot be decoded. */
  readonly countMalformedEntry?: () => void;
  /** Called after a table has changed. */
  readonly onChange: (kind: DocumentKind) => void;
}

/**
 * How long a server whose entry has disappeared is still used, in milliseconds. A live server has
 * written its entry again within two seconds of the end of an outage.
 */
function removalGrace(failure: StoreFailure | undefined, now: number): number {
  if (!failure) return 0;
  const graceLeft = failure.lastAt + serverEntryGraceMilliseconds - now;
  if (graceLeft <= 0) return 0;
  return failure.lastAt - failure.beganAt >= minimumOutageMilliseconds
    ? graceLeft
    : Math.min(graceLeft, briefFailureGraceMilliseconds);
}

export class Documents {
  readonly #options: DocumentsOptions;
  readonly #tables: Record<DocumentKind, KeyedTable> = {
    configuration: new KeyedTable(),
    servers: new KeyedTable(),
  };
  /** Servers whose entry disappeared around a store outage, with the time of their removal. */
  readonly #pendingRemovals = new Map<InstanceId, number>();
  /** Why the entry of a server cannot be decoded, which is logged once. */
  readonly #malformedEntries = new Map<InstanceId, string>();

  constructor(options: DocumentsOptions) {
    this.#options = options;
  }

  position(kind: DocumentKind): Offset {
    return this.#tables[kind].position;
  }

  recordsSince(kind: DocumentKind, position: number): KeyedRecord[] {
    return this.#tables[kind].recordsSince(position);
  }

  /** Adds records from the store or a peer and applies those newer than the known ones. */
  applyRecords(
    kind: DocumentKind,
    records: readonly KeyedRecord[],
    position: Offset,
    { isSnapshot }: { isSnapshot: boolean },
  ): void {
    const table = this.#tables[kind];
    const changed = isSnapshot
      ? table.replace(records, position)
      : table.merge(records, position);
    for (const record of changed) {
      if (kind === "configuration") this.#applyConfiguration(record);
      else this.#applyServer(record);
    }
    if (kind === "servers") this.#options.blackboard.hasServerList = true;
    if (changed.length > 0) this.#options.onChange(kind);
  }

  /** Ends the grace period of removed servers, and the time for which servers count as cold. */
  sweep(): void {
    const now = this.#options.clock.monotonicNow();
    for (const [id, removeAt] of this.#pendingRemovals) {
      if (now < removeAt) continue;
      this.#pendingRemovals.delete(id);
      this.#remove(id, "its entry was not written again after a store outage");
    }
    for (const id of this.#options.blackboard.coldServers.expire(now)) {
      this.#options.logger.info("a server takes its full load again", {
        server: id,
      });
    }
  }

  #applyConfiguration(record: KeyedRecord): void {
    const { blackboard, codec, logger } = this.#options;
    const zone = codec.decodeEvacuation(record);
    if (zone !== undefined) return this.#applyEvacuation(zone, record);
    if (record.value === undefined) return;
    let configuration: FleetConfiguration | undefined;
    try {
      configuration = codec.decodeConfiguration(record);
    } catch (error) {
      return logger.error(
        "a configuration cannot be decoded; the previous one stays in force",
        {
          offset: record.offset,
          reason: String(error),
        },
      );
    }
    if (!configuration) return;
    const known = blackboard.configuration?.version;
    if (known !== undefined && configuration.version <= known) return;
    blackboard.configuration = new ConfigurationIndex(configuration);
    logger.info("a configuration is in force", {
      version: configuration.version,
      previous: known ?? null,
      offset: record.offset,
      routes: configuration.routes.length,
    });
  }

  /** The record is in force as long as it exists, whatever its value is. */
  #applyEvacuation(zone: ZoneId, { value, offset }: KeyedRecord): void {
    const { blackboard, logger, clock } = this.#options;
    const { evacuatedZones, coldServers, upstreams } = blackboard;
    if (value !== undefined) {
      if (!evacuatedZones.begin(zone, clock.wallNow())) return;
      return logger.info("a zone is evacuated", { zone, offset });
    }
    if (!evacuatedZones.end(zone)) return;
    logger.info("the evacuation of a zone is revoked", { zone, offset });
    for (const server of upstreams.all()) {
      if (server.zone !== zone) continue;
      coldServers.recordZoneReturn(server, clock.monotonicNow());
    }
  }

  #applyServer(record: KeyedRecord): void {
    const { blackboard, codec, logger, clock } = this.#options;
    const id = record.key as InstanceId;
    if (record.value === undefined) {
      this.#malformedEntries.delete(id);
      if (!blackboard.upstreams.get(id)) return;
      const now = clock.monotonicNow();
      const grace = removalGrace(this.#options.lastStoreFailure(), now);
      if (grace > 0) this.#pendingRemovals.set(id, now + grace);
      else this.#remove(id, "its entry was removed");
      return;
    }
    let server: UpstreamServer;
    try {
      server = codec.decodeServer(record);
    } catch (error) {
      this.#recordMalformedEntry(id, String(error));
      return this.#remove(id, "its entry cannot be decoded");
    }
    this.#malformedEntries.delete(id);
    const known = blackboard.upstreams.get(id);
    this.#pendingRemovals.delete(id);
    blackboard.upstreams.set(server);
    const change = blackboard.coldServers.recordEntry(
      server,
      known,
      clock.monotonicNow(),
    );
    if (change) logger.info(coldMessage, { ...change, offset: record.offset });
    if (known?.startedAtMilliseconds !== server.startedAtMilliseconds) {
      blackboard.health.forget(id);
      blackboard.speeds.forget(id);
      blackboard.serverLimits.startLifetime(server);
    }
    if (known?.state !== server.state) {
      logger.info("a server changed its state", {
        server: id,
        state: server.state,
        previous: known?.state ?? null,
        offset: record.offset,
      });
    }
  }

  #recordMalformedEntry(id: InstanceId, reason: string): void {
    const { logger, countMalformedEntry } = this.#options;
    countMalformedEntry?.();
    if (this.#malformedEntries.get(id) === reason) return;
    this.#malformedEntries.set(id, reason);
    logger.warn("a server entry cannot be decoded; the server is not used", {
      server: id,
      reason,
    });
  }

  #remove(id: InstanceId, reason: string): void {
    const { blackboard, logger } = this.#options;
    this.#pendingRemovals.delete(id);
    if (!blackboard.upstreams.get(id)) return;
    blackboard.upstreams.delete(id);
    logger.info("a server has gone", { server: id, reason });
  }
}
