/**
 * Tells crashes of servers from broken connections: after a connection broke, a server that has
 * crashed refuses new ones. The requests that were lost together are reported together.
 */

import { connect } from "node:net";
import type { InstanceId } from "../common/ids.ts";
import type { UpstreamServer } from "../fleet/upstreams.ts";
import {
  crashGroupingMilliseconds,
  probeTimeoutMilliseconds,
} from "./constants.ts";
import type { CrashReport, CrashSuspect } from "./crash-evidence.ts";

export interface CrashDetectorOptions {
  readonly onCrash: (report: CrashReport) => void;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  /** Resolves to true if the server refuses a connection. */
  readonly refusesConnections?: (server: UpstreamServer) => Promise<boolean>;
}

interface Examination {
  readonly serverStartedAt: number;
  /** Suspects that have not been reported yet. */
  readonly suspects: CrashSuspect[];
  readonly result: Promise<boolean>;
  /** When the server was found to have crashed; undefined while the check is pending. */
  crashedAt: number | undefined;
  /** The crash is known to all coordinators. */
  isReported: boolean;
}

export class CrashDetector {
  readonly #options: Required<CrashDetectorOptions>;
  readonly #examinations = new Map<InstanceId, Examination>();

  constructor(options: CrashDetectorOptions) {
    this.#options = { refusesConnections, ...options };
  }

  /**
   * Resolves to true if the server, a connection to which has broken, has crashed. `suspect` is the
   * request that was lost, unless its answer had begun.
   */
  async examine(
    server: UpstreamServer,
    suspect: CrashSuspect | undefined,
  ): Promise<boolean> {
    const examination = this.#currentExamination(server) ?? this.#start(server);
    if (suspect) {
      examination.suspects.push(suspect);
      if (examination.crashedAt !== undefined) {
        this.#report(server, examination);
      }
    }
    return await examination.result;
  }

  /** Records a crash that another instance has found, so that it is not looked for again. */
  recordCrash({ server, serverStartedAt }: CrashReport): void {
    const known = this.#examinations.get(server);
    if (known?.serverStartedAt === serverStartedAt) {
      known.isReported = true;
      return;
    }
    this.#examinations.set(server, {
      serverStartedAt,
      suspects: [],
      result: Promise.resolve(true),
      crashedAt: this.#options.now(),
      isReported: true,
    });
  }

  /** A pending check of the server, or a recent one that found that it has crashed. */
  #currentExamination(server: UpstreamServer): Examination | undefined {
    const examination = this.#examinations.get(server.id);
    if (!examination) return undefined;
    const { crashedAt, serverStartedAt } = examination;
    const isCurrent = serverStartedAt === server.startedAtMilliseconds &&
      (crashedAt === undefined ||
        this.#options.now() - crashedAt <= crashGroupingMilliseconds);
    return isCurrent ? examination : undefined;
  }

  #start(server: UpstreamServer): Examination {
    const { refusesConnections, now } = this.#options;
    const examination: Examination = {
      serverStartedAt: server.startedAtMilliseconds,
      suspects: [],
      crashedAt: undefined,
      isReported: false,
      result: refusesConnections(server).then((hasCrashed) => {
        if (hasCrashed) {
          examination.crashedAt = now();
          this.#report(server, examination);
        } else if (this.#examinations.get(server.id) === examination) {
          this.#examinations.delete(server.id);
        }
        return hasCrashed;
      }),
    };
    this.#examinations.set(server.id, examination);
    return examination;
  }

  #report(server: UpstreamServer, examination: Examination): void {
    const { suspects, isReported } = examination;
    if (isReported && suspects.length === 0) return;
    examination.isReported = true;
    this.#options.onCrash({
      server: server.id,
      serverStartedAt: server.startedAtMilliseconds,
      service: server.service,
      suspects: suspects.splice(0),
    });
  }

  /** Drops what is known of servers that have gone. */
  retain(isKnown: (server: InstanceId) => boolean): void {
    for (const server of this.#examinations.keys()) {
      if (!isKnown(server)) this.#examinations.delete(server);
    }
  }
}

/** Opens a connection and closes it; a server that does not respond is not known to have crashed. */
function refusesConnections(
  { host, port }: UpstreamServer,
): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: probeTimeoutMilliseconds });
    const end = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once("connect", () => end(false));
    // After a pause of the process a refusal that has arrived is handled only after the timers.
    socket.once("timeout", () => setImmediate(() => end(false)));
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) => end(error.code === "ECONNREFUSED"),
    );
  });
}
