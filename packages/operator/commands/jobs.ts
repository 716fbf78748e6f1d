/** Commands `jobs list` and `jobs cancel`, which read batch jobs from the partitions' streams. */

import { z } from "zod";
import { PartitionFollower } from "../../batch/partition/follower.ts";
import { partitionStream } from "../../batch/partition/owner.ts";
import { type JobState, rangeCount } from "../../batch/partition/state.ts";
import { systemClock } from "../../common/clock.ts";
import {
  LogUnavailableError,
  RosemaryrudderError,
} from "../../common/errors.ts";
import {
  brandAs,
  type JobId,
  type PartitionNumber,
  type SectionName,
} from "../../common/ids.ts";
import { silentLogger } from "../../common/logging.ts";
import type { LogClient } from "../../log/log-client.ts";
import { type CommandContext, defineCommand } from "../command.ts";
import { partitionParallelism } from "../constants.ts";
import { ControlLog } from "../control-log.ts";
import { DocumentFile } from "../document-file.ts";
import { mapInParallel } from "../parallel.ts";

export const listJobsCommand = defineCommand({
  usage: "jobs list",
  description: "List the batch jobs with their progress by finished ranges",
  options: {
    workspace: {
      type: "string",
      requiresArg: true,
      description: "Only jobs of this workspace",
    },
    json: { type: "boolean", default: false, description: "Print JSON" },
  },
  flags: z.object({ workspace: z.string().optional(), json: z.boolean() }),
  run: async (context, { workspace, json }) => {
    const { jobs } = await readJobs(context);
    const selectedJobs = jobs
      .filter((job) => workspace === undefined || job.workspace === workspace)
      .sort((left, right) => left.createdAt - right.createdAt);
    if (json) context.print(JSON.stringify(selectedJobs));
    else for (const job of selectedJobs) context.print(describeJob(job));
    return 0;
  },
});

export const cancelJobCommand = defineCommand({
  usage: "jobs cancel <job>",
  description:
    "Add a job to cancelledJobs in a file; publish the file afterwards",
  options: {
    write: {
      type: "string",
      demandOption: true,
      requiresArg: true,
      description: "Document file with the section of the job's workspace",
    },
  },
  flags: z.object({ job: z.string(), write: z.string() }),
  run: async (context, { job, write }) => {
    const document = DocumentFile.read(write);
    const section = context.section ?? await findSectionOfJob(context, job);
    document.selectSections(section);
    const { data: cancelled = [] } = z.array(z.string())
      .safeParse(document.sectionFields(section)["cancelledJobs"] ?? []);
    if (!cancelled.includes(job)) {
      document.addToList(["sections", section, "cancelledJobs"], job);
    }
    context.print(
      `${section}: ${job} is cancelled once ${write} is published`,
    );
    return 0;
  },
});

interface ListedJob {
  readonly id: JobId;
  readonly workspace: string;
  readonly status: "in_progress" | "cancelling" | "cancelled" | "completed";
  readonly items: number;
  readonly finishedRanges: number;
  readonly ranges: number;
  /** Milliseconds since the Unix epoch, like `deadline`. */
  readonly createdAt: number;
  readonly deadline: number;
}

async function readJobs(context: CommandContext) {
  const client = context.openLog();
  const { timeoutSeconds } = context.settings;
  const log = new ControlLog(client, timeoutSeconds);
  await log.refresh();
  const { platform } = log.state.values;
  const partitions = Array.from(
    { length: platform?.partitions ?? 0 },
    (_, index) => brandAs<PartitionNumber>(index),
  );
  const jobsByPartition = await mapInParallel(
    partitions,
    partitionParallelism,
    (partition) => readPartition(client, partition, timeoutSeconds * 1_000),
  );
  return { jobs: jobsByPartition.flat(), state: log.state };
}

/** Reads a partition's stream up to its end and returns the jobs of the partition. */
async function readPartition(
  client: LogClient,
  partition: PartitionNumber,
  timeoutMilliseconds: number,
): Promise<ListedJob[]> {
  const follower = new PartitionFollower({
    client,
    stream: partitionStream(partition),
    clock: systemClock,
    logger: silentLogger,
    onApplied: () => {},
  });
  follower.start();
  try {
    const deadline = performance.now() + timeoutMilliseconds;
    while (!follower.hasCaughtUp) {
      if (performance.now() > deadline) {
        throw new LogUnavailableError(
          `the stream of partition ${partition} could not be read in time`,
        );
      }
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    return [...follower.state.jobs.values()].map(toListedJob);
  } finally {
    follower.stop();
  }
}

function toListedJob(
  { spec, cancelledAt, endedAt, finished }: JobState,
): ListedJob {
  const isCancelled = cancelledAt !== undefined;
  const endedStatus = isCancelled ? "cancelled" : "completed";
  const activeStatus = isCancelled ? "cancelling" : "in_progress";
  return {
    id: spec.id,
    workspace: spec.workspace,
    status: endedAt === undefined ? activeStatus : endedStatus,
    items: spec.lines,
    finishedRanges: finished.size,
    ranges: rangeCount(spec),
    createdAt: spec.createdAt,
    deadline: spec.deadline,
  };
}

function describeJob(job: ListedJob): string {
  const { id, workspace, status, items, finishedRanges, ranges } = job;
  const due = new Date(job.deadline).toISOString();
  return `${id} ${workspace} ${status}, ${items} items, ` +
    `${finishedRanges} of ${ranges} ranges finished, due ${due}`;
}

/** Returns the section that defines the workspace of the job. */
async function findSectionOfJob(
  context: CommandContext,
  id: string,
): Promise<SectionName> {
  const { jobs, state } = await readJobs(context);
  const job = jobs.find((candidate) => candidate.id === id);
  const section = [...state.configuration.workspaceSections]
    .find(([workspace]) => workspace === job?.workspace)?.[1];
  if (section !== undefined) return section;
  throw new RosemaryrudderError(
    "no_such_job",
    `job '${id}' is not known; name the section with --section`,
  );
}
