/**
 * Plays instances with a quarantine each, and servers that crash under certain requests or for
 * other reasons, in virtual time. Reports between the instances may be late, doubled or lost.
 */

import type {
  Incarnation,
  InstanceId,
  Offset,
  PromptPartId,
  StreamName,
  UpstreamName,
} from "../../common/ids.ts";
import { silentLogger } from "../../common/logging.ts";
import { SeededRandom } from "../../common/random.ts";
import { VirtualTime } from "../../common/testing/virtual-time.ts";
import {
  VirtualNetwork,
  type VirtualProcess,
} from "../../protocol/testing/virtual-network.ts";
import type { KeyedEntry, KeyedStore } from "../../store/keyed-store.ts";
import {
  undecidedRetryMilliseconds,
  undecidedWaitMilliseconds,
} from "../constants.ts";
import type { CrashSuspect } from "../crash-evidence.ts";
import { Quarantine } from "../quarantine.ts";
import { VerdictStore } from "../verdict-store.ts";

export interface PlayOptions {
  readonly seed: number;
  readonly instances?: number;
  readonly servers?: number;
  readonly requestsPerSecond?: number;
  /** Share of the requests with a part that crashes servers, and the number of such parts. */
  readonly poisonedShare?: number;
  readonly poisonedParts?: number;
  /** Crashes a second of single servers that no request causes. */
  readonly otherCrashesPerSecond?: number;
  /**
   * Share of the requests of each kind that crash servers for a reason of their own, which their
   * callers repeat with them.
   */
  readonly crashingShares?: readonly number[];
  /** Crashes a second of one server that always ends again. */
  readonly faultyServerCrashesPerSecond?: number;
  /** Further parts, each of which is in few requests. */
  readonly rareParts?: number;
  /** Requests that a server runs at once; others wait there. */
  readonly slots?: number;
  /** How often a caller repeats a request that failed, under another id and at any instance. */
  readonly repeats?: number;
  /** Times at which the share of the servers crashes at once. */
  readonly massCrashes?: readonly { at: number; share: number }[];
  /** Share of the messages that are lost, and of the crash reports that are sent twice. */
  readonly lostShare?: number;
  readonly doubledShare?: number;
  readonly milliseconds?: number;
}

interface Run {
  readonly request: Request;
  readonly instance: PlayedInstance;
  readonly isTrial: boolean;
  readonly sentAt: number;
  hasStarted: boolean;
  hasBegun: boolean;
}

interface Request {
  readonly id: string;
  readonly parts: readonly PromptPartId[];
  readonly ownPart: PromptPartId;
  readonly isPoisoned: boolean;
  readonly isCrashing: boolean;
  readonly arrivedAt: number;
  readonly repeatsLeft: number;
  tries: number;
}

interface Server {
  readonly id: InstanceId;
  startedAt: number;
  isDown: boolean;
  readonly runs: Set<Run>;
}

interface PlayedInstance {
  readonly process: VirtualProcess;
  readonly quarantine: Quarantine;
}

const beginMilliseconds = 60;
const runMilliseconds = 700;
const repeatMilliseconds = 600;
/** Servers under which a request had ended after which it must not be sent again. */
const crashesOfRequestAllowed = 3;
const downMilliseconds = 3_000;
const reportIntervalMilliseconds = 100;
const storeMilliseconds = 10;
const attempts = 3;
const kinds = 2;
const firstParts = 2;
const secondParts = 30;

export class PlayedFleet {
  readonly service = "service" as UpstreamName;
  readonly time = new VirtualTime();
  readonly instances: PlayedInstance[] = [];
  /** Times at which requests with a poisoned part crashed servers, and at which they were sent. */
  readonly crashTimes = new Map<PromptPartId, number[]>();
  readonly poisonedSends = new Map<PromptPartId, number[]>();
  readonly rejectedPoisoned: Request[] = [];
  readonly rejectedSound: Request[] = [];
  readonly answeredSound: Request[] = [];
  readonly arrivedSound: Request[] = [];
  /** Attempts and calls without an answer and without a rejection. */
  readonly failedSound: Request[] = [];
  readonly rejectedCrashing: Request[] = [];
  /** Sends of requests that had ended three servers before. */
  forbiddenSends = 0;
  serverCrashes = 0;
  /** Requests that were sent although a verdict rejects them. */
  releaseTrials = 0;
  /** Servers that each request has ended, by the own part. */
  readonly #endedServers = new Map<PromptPartId, number>();
  readonly #options: Required<PlayOptions>;
  readonly #random: SeededRandom;
  readonly #servers: Server[];
  readonly #network: VirtualNetwork;
  readonly #records: { key: string; value: Uint8Array | undefined }[] = [];
  #nextRequest = 0;

  constructor(options: PlayOptions) {
    this.#options = {
      instances: 6,
      servers: 8,
      requestsPerSecond: 40,
      poisonedShare: 0,
      poisonedParts: 1,
      otherCrashesPerSecond: 0,
      crashingShares: [],
      faultyServerCrashesPerSecond: 0,
      rareParts: 0,
      slots: Number.POSITIVE_INFINITY,
      repeats: 0,
      massCrashes: [],
      lostShare: 0,
      doubledShare: 0,
      milliseconds: 15_000,
      ...options,
    };
    this.#random = new SeededRandom(options.seed);
    this.#network = new VirtualNetwork({
      time: this.time,
      latency: () => 1 + this.#random.next() * 10,
      isLost: () => this.#random.next() < this.#options.lostShare,
    });
    this.#servers = Array.from(
      { length: this.#options.servers },
      (_, index) => ({
        id: `s${index}` as InstanceId,
        startedAt: 1,
        isDown: false,
        runs: new Set<Run>(),
      }),
    );
    for (let index = 0; index < this.#options.instances; index++) {
      this.instances.push(this.#createInstance(`i${index}` as InstanceId));
    }
  }

  async play(): Promise<void> {
    const { milliseconds, massCrashes, requestsPerSecond } = this.#options;
    const { otherCrashesPerSecond, faultyServerCrashesPerSecond } =
      this.#options;
    this.#schedule(requestsPerSecond, () => this.#arrive());
    this.#schedule(
      otherCrashesPerSecond,
      () => this.#crash(this.#pick(this.#servers)),
    );
    this.#schedule(
      faultyServerCrashesPerSecond,
      () => this.#crash(this.#servers[0]!),
    );
    for (const { at, share } of massCrashes) {
      this.time.after(at, () => {
        for (const server of this.#servers) {
          if (this.#random.next() < share) this.#crash(server);
        }
      });
    }
    for (let at = 0; at < milliseconds; at += reportIntervalMilliseconds) {
      this.time.after(at, () => this.#exchangeReports());
    }
    await this.time.runUntil(milliseconds);
  }

  #schedule(ratePerSecond: number, act: () => void): void {
    if (ratePerSecond === 0) return;
    for (
      let at = 0;
      at < this.#options.milliseconds;
      at += this.#random.nextArrivalMilliseconds(ratePerSecond)
    ) this.time.after(at, act);
  }

  /**
   * Sends of requests with a poisoned part later than the given time after the fifth crash under it:
   * the most for any part.
   */
  lateSends(settledMilliseconds: number): number {
    const counts = [...this.crashTimes].map(([part, crashes]) => {
      const settledAt = (crashes[4] ?? crashes.at(-1)!) + settledMilliseconds;
      return this.poisonedSends.get(part)!.filter((at) => at > settledAt)
        .length;
    });
    return Math.max(0, ...counts);
  }

  /** Starts an instance that reads the stored verdicts. */
  startLate(): Quarantine {
    const instance = this.#createInstance("late" as InstanceId);
    this.instances.push(instance);
    const records = this.#records.map((entry, index) => ({
      ...entry,
      offset: index as Offset,
    }));
    instance.quarantine.applyRecords(records, { isSnapshot: true });
    return instance.quarantine;
  }

  get verdicts(): number {
    return Math.max(
      ...this.instances.map(({ quarantine }) => quarantine.verdicts.length),
    );
  }

  #createInstance(instance: InstanceId): PlayedInstance {
    const process = this.#network.start(instance, instance as never);
    const store = {
      append: (_target: unknown, entries: readonly KeyedEntry[]) => {
        for (const entry of entries) this.#store(entry);
        return Promise.resolve(0 as Offset);
      },
    } as unknown as KeyedStore;
    const quarantine = new Quarantine({
      network: process,
      coordinators: () =>
        this.instances.map((other) => other.process.instance)
          .filter((other) => other !== instance),
      decides: () => true,
      store: new VerdictStore({
        store,
        stream: "verdicts" as StreamName,
        logger: silentLogger,
      }),
      instance,
      incarnation: "1" as Incarnation,
      onCrash: () => {},
      clock: this.time,
      timers: process,
      logger: silentLogger,
    });
    return { process, quarantine };
  }

  #store(entry: KeyedEntry): void {
    const offset = this.#records.push(entry) as Offset;
    this.time.after(storeMilliseconds, () => {
      for (const { quarantine } of this.instances) {
        quarantine.applyRecords([{ ...entry, offset }], { isSnapshot: false });
      }
    });
  }

  #arrive(): void {
    const { poisonedShare, poisonedParts, rareParts, repeats } = this.#options;
    const number = this.#nextRequest++;
    const pick = (name: string, count: number) =>
      `${name}${Math.floor(this.#random.next() * count)}` as PromptPartId;
    const isPoisoned = this.#random.next() < poisonedShare;
    const parts = [pick("first", firstParts), pick("second", secondParts)];
    if (rareParts > 0) parts.push(pick("rare", rareParts));
    if (isPoisoned) parts.push(pick("poisoned", poisonedParts));
    const kind = Math.floor(this.#random.next() * kinds);
    const crashingShare = this.#options.crashingShares[kind] ?? 0;
    const request = {
      id: `r${number}`,
      parts,
      ownPart: `own${number}` as PromptPartId,
      isPoisoned,
      isCrashing: crashingShare > 0 && this.#random.next() < crashingShare,
      arrivedAt: this.time.monotonicNow(),
      repeatsLeft: repeats,
      tries: 0,
    };
    if (isSound(request)) this.arrivedSound.push(request);
    this.#place(request, this.#pick(this.instances));
  }

  #place(
    request: Request,
    instance: PlayedInstance,
    waitedMilliseconds = 0,
  ): void {
    const judgement = instance.quarantine.judge(request.parts, request.ownPart);
    if (judgement.kind === "rejected") {
      const rejected = request.isPoisoned
        ? this.rejectedPoisoned
        : request.isCrashing
        ? this.rejectedCrashing
        : this.rejectedSound;
      return void rejected.push(request);
    }
    if (judgement.kind === "undecided") {
      if (waitedMilliseconds >= undecidedWaitMilliseconds) {
        return this.#fail(request);
      }
      this.time.after(
        undecidedRetryMilliseconds,
        () =>
          this.#place(
            request,
            instance,
            waitedMilliseconds + undecidedRetryMilliseconds,
          ),
      );
      return;
    }
    const running = this.#servers.filter(({ isDown }) => !isDown);
    if (running.length === 0) return this.#fail(request);
    const isTrial = judgement.kind === "trial";
    const isRejected = instance.quarantine.verdicts.some((verdict) =>
      verdict.alternatives.length === 0 && request.parts.includes(verdict.part)
    );
    if (isRejected) this.releaseTrials += 1;
    const server = isTrial
      ? running.reduce((least, other) =>
        other.runs.size < least.runs.size ? other : least
      )
      : this.#pickByLoad(running);
    if (isTrial) instance.quarantine.beginTrial(request.id, judgement.parts);
    const sentAt = this.time.monotonicNow();
    this.#send({
      request,
      instance,
      isTrial,
      sentAt,
      hasStarted: false,
      hasBegun: false,
    }, server);
  }

  /** Has the caller repeat a request that was not answered. */
  #fail(request: Request): void {
    if (isSound(request)) this.failedSound.push(request);
    if (request.repeatsLeft === 0) return;
    const repeated = {
      ...request,
      id: `${request.id}-${request.repeatsLeft}`,
      repeatsLeft: request.repeatsLeft - 1,
      tries: 0,
    };
    this.time.after(
      repeatMilliseconds * (0.5 + this.#random.next()),
      () => this.#place(repeated, this.#pick(this.instances)),
    );
  }

  #send(run: Run, server: Server): void {
    const { request } = run;
    request.tries += 1;
    server.runs.add(run);
    if (request.isPoisoned) this.#record(this.poisonedSends, request);
    const ended = this.#endedServers.get(request.ownPart) ?? 0;
    if (ended >= crashesOfRequestAllowed) this.forbiddenSends += 1;
    this.#startNext(server);
  }

  #startNext(server: Server): void {
    const started = [...server.runs].filter(({ hasStarted }) => hasStarted);
    const next = [...server.runs].find(({ hasStarted }) => !hasStarted);
    if (!next || started.length >= this.#options.slots) return;
    next.hasStarted = true;
    this.#run(next, server);
  }

  #run(run: Run, server: Server): void {
    const { request, instance, isTrial } = run;
    this.time.after(beginMilliseconds * (0.5 + this.#random.next()), () => {
      if (!server.runs.has(run)) return;
      if (request.isPoisoned) this.#record(this.crashTimes, request);
      if (!isSound(request)) {
        const ended = this.#endedServers.get(request.ownPart) ?? 0;
        this.#endedServers.set(request.ownPart, ended + 1);
        return this.#crash(server);
      }
      run.hasBegun = true;
      this.answeredSound.push(request);
      instance.quarantine.recordBegin(request.parts, this.service, {
        isTrial,
        ownPart: request.ownPart,
      });
      this.time.after(runMilliseconds, () => {
        if (server.runs.delete(run)) this.#startNext(server);
      });
    });
  }

  #record(times: Map<PromptPartId, number[]>, { parts }: Request): void {
    const part = parts.at(-1)!;
    const known = times.get(part) ?? [];
    times.set(part, known);
    known.push(this.time.monotonicNow());
  }

  #crash(server: Server): void {
    if (server.isDown) return;
    const { id, startedAt } = server;
    this.serverCrashes += 1;
    const lost = [...server.runs].filter(({ hasBegun }) => !hasBegun);
    server.runs.clear();
    server.isDown = true;
    server.startedAt = this.time.monotonicNow() + downMilliseconds;
    this.time.after(downMilliseconds, () => server.isDown = false);
    for (const instance of this.instances) {
      const own = lost.filter((run) => run.instance === instance);
      const suspects: CrashSuspect[] = own.map(({ request, sentAt }) => ({
        request: request.id,
        sharedPromptParts: request.parts,
        ownPromptPart: request.ownPart,
        runMilliseconds: this.time.monotonicNow() - sentAt,
      }));
      if (suspects.length === 0) continue;
      const report = {
        server: id,
        serverStartedAt: startedAt,
        service: this.service,
        suspects,
      };
      this.time.after(this.#random.next() * 20, () => {
        instance.quarantine.reportCrash(report);
        if (this.#random.next() < this.#options.doubledShare) {
          instance.quarantine.reportCrash(report);
        }
        for (const { request } of own) {
          if (request.tries < attempts) this.#place(request, instance);
          else this.#fail(request);
        }
      });
    }
  }

  #exchangeReports(): void {
    for (const instance of this.instances) {
      const report = instance.quarantine.takeBegins();
      for (const other of this.instances) {
        if (other === instance) continue;
        if (this.#random.next() < this.#options.lostShare) continue;
        this.time.after(
          this.#random.next() * 20,
          () => other.quarantine.addBegins(report, { isRelayed: false }),
        );
      }
    }
  }

  /** The one of two servers with fewer requests; any server while none has a queue. */
  #pickByLoad(servers: readonly Server[]): Server {
    const server = this.#pick(servers);
    if (server.runs.size < this.#options.slots) return server;
    const other = this.#pick(servers);
    return other.runs.size < server.runs.size ? other : server;
  }

  #pick<Value>(values: readonly Value[]): Value {
    return values[Math.floor(this.#random.next() * values.length)]!;
  }
}

function isSound({ isPoisoned, isCrashing }: Request): boolean {
  return !isPoisoned && !isCrashing;
}
