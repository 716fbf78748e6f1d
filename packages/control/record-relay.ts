/**
 * Passes records of the control stream between instances: announces each newly applied offset
 * to the peers at once, hands out recent records and fetches those that the own reader lacks.
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
  /** Peers that may need the record. */
  announcementTargets: () => Iterable<InstanceId>;
  /** Offset that the peer is known to have applied. */
  reportedOffset: (peer: InstanceId) => number;
  appliedOffset: () => Offset;
  /** Offset of the next record that the reader needs. */
  nextOffset: () => Offset;
  /** Hands a record to the reader; false if it is not the next one. */
  offer: (record: StoredRecord) => boolean;
  onAnnounced: (peer: PeerSender, offset: Offset) => void;
}

export class RecordRelay {
  readonly #options: RecordRelayOptions;
  readonly #records: StoredRecord[] = [];
  #bytes = 0;
  #announceTimer: NodeJS.Immediate | undefined;
  #fetchTimer: NodeJS.Timeout | undefined;
  #isStopped = false;
  /** Peers that have named a newer offset, the latest last. */
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

  /** Keeps an applied record for peers and announces it, together with others of this turn. */
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

  /** A peer has applied the offset; fetches up to it unless the own reader gets there first. */
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
        // The next heartbeat names the offset again.
        return;
      }
      const accepted = records.filter((record) => this.#options.offer(record));
      this.recordsFetched += accepted.length;
      if (accepted.length === 0) return;
    }
  }
}
