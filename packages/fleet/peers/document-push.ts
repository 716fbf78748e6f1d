/** Sends document records to peers that lack them and may be unable to read them from the store. */

import type { InstanceId, Offset } from "../../common/ids.ts";
import type { Logger } from "../../common/logging.ts";
import type { PeerNetwork } from "../../protocol/peer-network.ts";
import { documentPushIntervalMilliseconds } from "../constants.ts";
import type { DocumentKind, Documents } from "../documents.ts";
import { documentMessage } from "./report.ts";

/** The positions up to which a peer has the documents that may be sent to it. */
export type DocumentPositions = Partial<Record<DocumentKind, Offset>>;

const documentKinds: readonly DocumentKind[] = ["configuration", "servers"];

export interface DocumentPushOptions {
  readonly network: PeerNetwork;
  readonly documents: Documents;
  readonly logger: Logger;
}

export class DocumentPush {
  readonly #options: DocumentPushOptions;
  /** When records were last sent to each peer, in monotonic milliseconds. */
  readonly #lastPushes = new Map<InstanceId, number>();

  constructor(options: DocumentPushOptions) {
    this.#options = options;
    options.network.handle(documentMessage, ({ kind, position, records }) => {
      options.documents.applyRecords(kind, records, position, {
        isSnapshot: false,
      });
      return null;
    });
  }

  push(peer: InstanceId, positions: DocumentPositions, now: number): void {
    const lastPush = this.#lastPushes.get(peer) ?? Number.NEGATIVE_INFINITY;
    if (now - lastPush < documentPushIntervalMilliseconds) return;
    for (const kind of documentKinds) {
      const position = positions[kind];
      if (position !== undefined) this.#pushRecords(peer, kind, position, now);
    }
  }

  #pushRecords(
    peer: InstanceId,
    kind: DocumentKind,
    peerPosition: number,
    now: number,
  ): void {
    const { documents, network, logger } = this.#options;
    const position = documents.position(kind);
    if (peerPosition >= position) return;
    const records = documents.recordsSince(kind, peerPosition);
    this.#lastPushes.set(peer, now);
    logger.debug("sending document records to a peer that lacks them", {
      peer,
      kind,
      from: peerPosition,
      to: position,
    });
    network.send(peer, documentMessage, { kind, position, records });
  }
}
