/** What the coordination of the fleet needs of the instance. */

import type { Documents } from "../fleet/documents.ts";
import type { Member, MemberTable } from "../fleet/peers/members.ts";
import type { ReportNetwork } from "../fleet/peers/peer-reports.ts";
import type { ServerStatements } from "../fleet/server-statements.ts";
import type { CallerCodec } from "../gateway/caller-request.ts";
import type { ServerPools } from "../gateway/server-pools.ts";
import type { JobCodec } from "../jobs/job-codec.ts";
import type { HeldBytes } from "../overload/held-bytes.ts";
import type { CrashControlOptions } from "./crash-control.ts";

export interface CoordinationOptions
  extends Omit<CrashControlOptions, "coordinators" | "isCoordinator"> {
  readonly network: ReportNetwork;
  readonly members: MemberTable;
  readonly documents: Documents;
  readonly statements: ServerStatements;
  readonly pools: ServerPools;
  readonly callerCodec: CallerCodec;
  readonly jobCodec: JobCodec;
  /** Whether this instance cannot read the store at present. */
  readonly isStoreFailing: () => boolean;
  /** See `BatchExecutorOptions`. */
  readonly configurationReadAt: () => number;
  /** Called when a dependent has become a coordinator, which has to read the documents itself. */
  readonly onCoordinator: () => void;
  readonly heldBytes: HeldBytes;
  readonly removeMember: (member: Member) => void;
  /** Called at the end of each item run. */
  readonly countRun: (outcome: string) => void;
  /** Called with the number of records that were removed from the store. */
  readonly countRemovals: (family: "jobs" | "bodies", count: number) => void;
}
