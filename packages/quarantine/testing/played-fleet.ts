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
import { undecidedRetryMilliseconds } from "../constants.ts";
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
  hasBegun: boolean;
}

interface Request {
  readonly id: string;
  readonly parts: readonly PromptPartId[];
  readonly isPoisoned: boolean;
  readonly arrivedAt: number;
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
const downMilliseconds = 3_000;
const reportIntervalMilliseconds = 100;
const storeMilliseconds = 10;
const attempts = 3;
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
    const { otherCrashesPerSecond } = this.#options;
    for (
      let at = 0;
      at < milliseconds;
      at += this.#random.nextArrivalMilliseconds(requestsPerSecond)
    ) this.time.after(at, () => this.#arrive());
    if (otherCrashesPerSecond > 0) {
      for (
        let at = 0;
        at < milliseconds;
        at += this.#random.nextArrivalMilliseconds(otherCrashesPerSecond)
      ) this.time.after(at, () => this.#crash(this.#pick(this.#servers)));
    }
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
    const { poisonedShare, poisonedParts } = this.#options;
    const number = this.#nextRequest++;
    const pick = (name: string, count: number) =>
      `${name}${Math.floor(this.#random.next() * count)}` as PromptPartId;
    const isPoisoned = this.#random.next() < poisonedShare;
    const parts = [pick("first", firstParts), pick("second", secondParts)];
    if (isPoisoned) parts.push(pick("poisoned", poisonedParts));
    const request = {
      id: `r${number}`,
      parts,
      isPoisoned,
      arrivedAt: this.time.monotonicNow(),
      tries: 0,
    };
    if (!isPoisoned) this.arrivedSound.push(request);
    this.#place(request, this.#pick(this.instances));
  }

  #place(request: Request, instance: PlayedInstance): void {
    const judgement = instance.quarantine.judge(request.parts);
    if (judgement.kind === "rejected") {
      const rejected = request.isPoisoned
        ? this.rejectedPoisoned
        : this.rejectedSound;
      return void rejected.push(request);
    }
    if (judgement.kind === "undecided") {
      this.time.after(
        undecidedRetryMilliseconds,
        () => this.#place(request, instance),
      );
      return;
    }
    const running = this.#servers.filter(({ isDown }) => !isDown);
    if (running.length === 0) return;
    const isTrial = judgement.kind === "trial";
    const server = isTrial
      ? running.reduce((least, other) =>
        other.runs.size < least.runs.size ? other : least
      )
      : this.#pick(running);
    if (isTrial) instance.quarantine.beginTrial(request.id, judgement.parts);
    const sentAt = this.time.monotonicNow();
    this.#run({ request, instance, isTrial, sentAt, hasBegun: false }, server);
  }

  #run(run: Run, server: Server): void {
    const { request, instance, isTrial } = run;
    request.tries += 1;
    server.runs.add(run);
    if (request.isPoisoned) this.#record(this.poisonedSends, request);
    this.time.after(beginMilliseconds * (0.5 + this.#random.next()), () => {
      if (!server.runs.has(run)) return;
      if (request.isPoisoned) {
        this.#record(this.crashTimes, request);
        return this.#crash(server);
      }
      run.hasBegun = true;
      this.answeredSound.push(request);
      instance.quarantine.recordBegin(request.parts, this.service, { isTrial });
      this.time.after(runMilliseconds, () => server.runs.delete(run));
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

  #pick<Value>(values: readonly Value[]): Value {
    return values[Math.floor(this.#random.next() * values.length)]!;
  }
}
