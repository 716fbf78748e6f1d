/** What the execution of batch items needs of the instance. */

import type { PartitionNumber } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { ServerStatements } from "../fleet/server-statements.ts";
import type { CallerCodec } from "../gateway/caller-request.ts";
import type { ServerPools } from "../gateway/server-pools.ts";
import type { CrashDetector } from "../quarantine/crash-detector.ts";
import type { Quarantine } from "../quarantine/quarantine.ts";
import type { Holding } from "../overload/held-bytes.ts";
import type { ItemBodies } from "./item-bodies.ts";
import type { JobCodec } from "./job-codec.ts";
import type { JobPartition, JobPartitions } from "./job-partition.ts";
import type { ProgressStore } from "./progress-store.ts";
import type { JobRegions } from "./job-regions.ts";
import type { JobRecord } from "./records.ts";
import type { ResultWriter } from "./result-writer.ts";

export interface BatchExecutorOptions {
  readonly blackboard: Blackboard;
  readonly partitions: JobPartitions;
  readonly bodies: ItemBodies;
  readonly writerOf: (partition: JobPartition) => ResultWriter;
  readonly progress: Pick<ProgressStore, "get" | "write">;
  readonly regions: Pick<JobRegions, "mayHandle">;
  /** Whether new runs of items of the partition may be started. */
  readonly canStartItems: (partition: PartitionNumber) => boolean;
  /** Whether this executor, and no other one, runs the items of the job. */
  readonly takesJob: (job: JobRecord) => boolean;
  /** Number of items that other executors of this instance run. */
  readonly otherRuns: () => number;
  /**
   * When the last read that reached the end of the configuration's stream was sent, in monotonic
   * milliseconds.
   */
  readonly configurationReadAt: () => number;
  /** Number of items that wait at all other executors together. */
  readonly waitingItemsElsewhere: () => number;
  readonly callerCodec: CallerCodec;
  readonly jobCodec: JobCodec;
  readonly pools: ServerPools;
  readonly openOutputHolding: () => Holding;
  readonly quarantine: Quarantine;
  readonly crashDetector: CrashDetector;
  readonly statements: ServerStatements;
  readonly zone: string;
  readonly now: () => number;
  readonly wallNow: () => number;
  readonly countRun: (outcome: string) => void;
  readonly logger: Logger;
}
