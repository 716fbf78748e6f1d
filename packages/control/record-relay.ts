/**
 * Relays records of the control stream between instances: announces each newly applied offset to
 * the peers, serves recent records to them and fetches records that the own reader lacks.
 */

import type { InstanceId, Offset } from "../common/ids.ts";
import type { StoredRecord } from "../log/log-client.ts";
import type { PeerNetwork, PeerSender } from "../protocol/peer-network.ts";
import {
  fetchDeadlineMilliseconds,
  fetchDelayMilliseconds,
  maximumFetchBytes,
  maximumRelayedBytes,
  maximumRelayedRecords,
} from "./constants.ts";
import { fetchRecordsMessage, recordAnnouncement } from "./messages.ts";

export interface RecordRelayOptions {
  network: PeerNetwork;
  /** Peers to which newly applied offsets are announced. */
  announcementTargets: () => Iterable<InstanceId>;
  /** Highest applied offset that the peer has reported; -1 if it has reported none. */
  reportedOffset: (peer: InstanceId) => number;
  appliedOffset: () => Offset;
  /** Offset of the next record that the reader needs. */
  nextOffset: () => Offset;
  /** Passes a record to the reader; returns false if it is not the next record. */
  offer: (record: StoredRecord) => boolean;
  /** Called when a peer has announced its applied offset. */
  onAnnounced: (peer: PeerSender, offset: Offset) => void;
}

export class RecordRelay {
  readonly #options: RecordRelayOptions;
  readonly #records: StoredRecord[] = [];
  #bytes = 0;
  #announceTimer: NodeJS.Immediate | undefined;
  #fetchTimer: NodeJS.Timeout | undefined;
  #isStopped = false;
  /** Peers that have reported an offset not yet read here, most recent last. */
  readonly #fetchSources = new Set<InstanceId>();
  recordsFetched = 0;

  constructor(options: RecordRelayOptions) {
    this.#options = options;
    options.network.handle(recordAnnouncement, (offset, sender) => {
      options.onAnnounced(sender, offset);
      return null;
    });
    options.network.handle(
      fetchRecordsMessage,
      (from) => this.#readRecords(from),
    );
  }

  stop(): void {
    this.#isStopped = true;
    clearImmediate(this.#announceTimer);
    clearTimeout(this.#fetchTimer);
  }

  /**
   * Stores an applied record for the peers and announces its offset. Records that are applied in
   * the same turn of the event loop share one announcement.
   */
  addAppliedRecord(record: StoredRecord): void {
    const last = this.#records.at(-1);
    if (last && record.offset !== last.offset + 1) {
      this.#records.length = 0;
      this.#bytes = 0;
    }
    this.#records.push(record);
    this.#bytes += record.data.length;
    while (
      this.#records.length > maximumRelayedRecords ||
      (this.#bytes > maximumRelayedBytes && this.#records.length > 1)
    ) this.#bytes -= this.#records.shift()?.data.length ?? 0;
    this.#announceTimer ??= setImmediate(() => {
      this.#announceTimer = undefined;
      if (!this.#isStopped) this.#announce();
    });
  }

  /** Fetches records up to the offset from the peer, unless the own reader gets them first. */
  scheduleFetch(peer: InstanceId, offset: Offset): void {
    if (offset < this.#options.nextOffset() || this.#isStopped) return;
    this.#fetchSources.delete(peer);
    this.#fetchSources.add(peer);
    this.#fetchTimer ??= setTimeout(
      () => void this.#fetch(),
      fetchDelayMilliseconds,
    );
  }

  #announce(): void {
    const appliedOffset = this.#options.appliedOffset();
    for (const peer of this.#options.announcementTargets()) {
      if (this.#options.reportedOffset(peer) >= appliedOffset) continue;
      this.#options.network.send(peer, recordAnnouncement, appliedOffset);
    }
  }

  #readRecords(from: Offset): StoredRecord[] {
    const first = this.#records[0]?.offset ?? 0;
    if (from < first) return [];
    const recordsToSend: StoredRecord[] = [];
    let bytes = 0;
    for (const record of this.#records.slice(from - first)) {
      bytes += record.data.length;
      if (recordsToSend.length > 0 && bytes > maximumFetchBytes) break;
      recordsToSend.push(record);
    }
    return recordsToSend;
  }

  async #fetch(): Promise<void> {
    try {
      for (const peer of [...this.#fetchSources].reverse()) {
        this.#fetchSources.delete(peer);
        const isNeeded =
          this.#options.reportedOffset(peer) >= this.#options.nextOffset();
        if (isNeeded) await this.#fetchFrom(peer);
      }
    } finally {
      this.#fetchTimer = undefined;
    }
  }

  async #fetchFrom(peer: InstanceId): Promise<void> {
    while (!this.#isStopped) {
      const from = this.#options.nextOffset();
      let records: readonly StoredRecord[];
      try {
        records = await this.#options.network.request(
          peer,
          fetchRecordsMessage,
          from,
          { deadlineMilliseconds: fetchDeadlineMilliseconds },
        );
      } catch {
        // No retry here: the next heartbeat reports the offset again.
        return;
      }
      const accepted = records.filter((record) => this.#options.offer(record));
      this.recordsFetched += accepted.length;
      if (accepted.length === 0) return;
    }
  }
}
