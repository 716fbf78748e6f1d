/** Deployments that the launcher can start. */

export interface Deployment {
  readonly name: string;
  readonly zones: number;
  readonly instances: number;
  readonly engines: number;
  readonly plainServices: number;
  readonly models: readonly string[];
  /** One-way network delays, simulated by the fault proxies. */
  readonly crossZoneDelayMilliseconds: number;
  readonly sameZoneDelayMilliseconds: number;
  readonly callerDelayMilliseconds: number;
  /** Settings of the stand-ins that differ from their defaults. */
  readonly engineSettings: Readonly<Record<string, unknown>>;
  readonly plainServiceSettings: Readonly<Record<string, unknown>>;
  readonly logSettings: Readonly<Record<string, unknown>>;
  readonly instanceListSettings: Readonly<Record<string, unknown>>;
  /** Settings of the instances that differ from their defaults. */
  readonly instanceSettings: Readonly<Record<string, unknown>>;
  /**
   * Number of fault proxies that share the links, so that none becomes a bottleneck. With 0 all
   * connections are direct and have no simulated delay.
   */
  readonly faultProxies: number;
  /** File name of the deployment's document template in the folder `examples`. */
  readonly document: string;
}

const walnut: Deployment = {
  name: "walnut",
  zones: 4,
  instances: 10,
  engines: 8,
  plainServices: 1,
  models: ["walnut-7b"],
  crossZoneDelayMilliseconds: 1.5,
  sameZoneDelayMilliseconds: 0.1,
  callerDelayMilliseconds: 1,
  engineSettings: {
    concurrency: 8,
    prefillMillisecondsPerThousandCharacters: 40,
    minimumPrefillMilliseconds: 20,
    tokenMilliseconds: 15,
    minimumTokens: 8,
    maximumTokens: 24,
  },
  plainServiceSettings: { delayMilliseconds: 10 },
  logSettings: { appendsPerSecond: 400, appendDelayMilliseconds: 2 },
  instanceListSettings: { lagMilliseconds: 1_000 },
  instanceSettings: {},
  faultProxies: 2,
  document: "walnut.yaml",
};

const safarSaathi: Deployment = {
  ...walnut,
  name: "safar-saathi",
  engines: 6,
  models: ["saathi-9b"],
  crossZoneDelayMilliseconds: 0.5,
  callerDelayMilliseconds: 3,
  engineSettings: {
    ...walnut.engineSettings,
    tokenMilliseconds: 20,
    minimumTokens: 12,
    maximumTokens: 40,
  },
  document: "safar-saathi.yaml",
};

/** Smallest deployment for failover tests: a majority of three instances, two zones, two engines. */
const small: Deployment = {
  ...walnut,
  name: "small",
  zones: 2,
  instances: 3,
  engines: 2,
  engineSettings: {
    ...walnut.engineSettings,
    minimumPrefillMilliseconds: 5,
    tokenMilliseconds: 5,
  },
  instanceListSettings: { lagMilliseconds: 200 },
  faultProxies: 1,
};

/** One instance with one engine, for tests of a single instance's behaviour. */
const single: Deployment = {
  ...small,
  name: "single",
  zones: 1,
  instances: 1,
  engines: 1,
};

export const deployments: Readonly<Record<string, Deployment>> = {
  walnut,
  "safar-saathi": safarSaathi,
  small,
  single,
};
