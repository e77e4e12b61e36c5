import type { RoutedMetrics } from "../request/index.ts";

/** Metrics of one instance's routed requests, with their text exposition. */
export interface RoutedMetricsRegistry extends RoutedMetrics {
  /** Counts a request sent to a worker of this version. */
  sent(service: string, version: string): void;
  /** Counts an exchange that was closed because what it received exceeded a limit. */
  receiveLimitExceeded(part: string): void;
  /** Counts something that was given up because a limit on what is kept for callers was exceeded. */
  callerLimitExceeded(limit: string): void;
  /** Records how a store change reached this instance, and its delay after the first instance in milliseconds. */
  changeReceived(source: string, milliseconds: number): void;
  /** Returns all metrics in the Prometheus text exposition format. */
  text(): Promise<string>;
  /** Registers a gauge whose value is read when the metrics are fetched. */
  addGauge(name: string, help: string, read: () => number): void;
  /** Registers a gauge with a value for each service. */
  addServiceGauge(name: string, help: string, read: () => ReadonlyMap<string, number>): void;
}

/** Bucket bounds of the latency histograms in seconds, from one cross-zone trip to the longest deadline. */
const BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];
const MILLISECONDS_PER_SECOND = 1_000;
/**
 * Delay from the start to the loading of the metrics library, in milliseconds. Loading takes 7 ms, which callers would
 * wait for when all instances restart after a power failure.
 */
const LOAD_DELAY = 2_000;

/** Creates the metrics. Values recorded before the library is loaded are buffered and recorded afterwards. */
export function createRoutedMetrics(): RoutedMetricsRegistry {
  let instruments: RoutedMetricsRegistry | undefined;
  let loading: Promise<RoutedMetricsRegistry> | undefined;
  const buffered: ((loaded: RoutedMetricsRegistry) => void)[] = [];
  const load = (): Promise<RoutedMetricsRegistry> => {
    loading ??= loadInstruments().then((loaded) => {
      for (const record of buffered.splice(0)) record(loaded);
      return (instruments = loaded);
    });
    return loading;
  };
  const recordOrBuffer = (apply: (loaded: RoutedMetricsRegistry) => void): void => {
    if (instruments === undefined) buffered.push(apply);
    else apply(instruments);
  };
  setTimeout(() => void load(), LOAD_DELAY).unref();
  return {
    answered: (route, status, milliseconds) =>
      recordOrBuffer((loaded) => loaded.answered(route, status, milliseconds)),
    firstEvent: (route, milliseconds) =>
      recordOrBuffer((loaded) => loaded.firstEvent(route, milliseconds)),
    refused: (reason) => recordOrBuffer((loaded) => loaded.refused(reason)),
    cut: (reason) => recordOrBuffer((loaded) => loaded.cut(reason)),
    repeated: (cause) => recordOrBuffer((loaded) => loaded.repeated(cause)),
    sent: (service, version) => recordOrBuffer((loaded) => loaded.sent(service, version)),
    receiveLimitExceeded: (part) => recordOrBuffer((loaded) => loaded.receiveLimitExceeded(part)),
    callerLimitExceeded: (limit) => recordOrBuffer((loaded) => loaded.callerLimitExceeded(limit)),
    changeReceived: (source, milliseconds) =>
      recordOrBuffer((loaded) => loaded.changeReceived(source, milliseconds)),
    addGauge: (name, help, read) => recordOrBuffer((loaded) => loaded.addGauge(name, help, read)),
    addServiceGauge: (name, help, read) =>
      recordOrBuffer((loaded) => loaded.addServiceGauge(name, help, read)),
    text: async () => (await load()).text(),
  };
}

async function loadInstruments(): Promise<RoutedMetricsRegistry> {
  const { Counter, Gauge, Histogram, Registry } = await import("prom-client");
  const registry = new Registry();
  const registers = [registry];
  const answers = new Counter({
    name: "samphireshore_answers_total",
    help: "Answers of workers that were passed on, by route and status.",
    labelNames: ["route", "status"],
    registers,
  });
  const refused = new Counter({
    name: "samphireshore_refusals_total",
    help: "Requests ended by the entry instance itself, by reason.",
    labelNames: ["reason"],
    registers,
  });
  const cut = new Counter({
    name: "samphireshore_answers_cut_total",
    help: "Requests ended by the entry instance itself after their callers had a part of the answer, by reason.",
    labelNames: ["reason"],
    registers,
  });
  const repeated = new Counter({
    name: "samphireshore_repeats_total",
    help: "Requests sent to a further worker, by cause.",
    labelNames: ["cause"],
    registers,
  });
  const duration = new Histogram({
    name: "samphireshore_answer_seconds",
    help: "Time from the arrival of a request to the end of its answer, by route.",
    labelNames: ["route"],
    buckets: BUCKETS,
    registers,
  });
  const firstEvent = new Histogram({
    name: "samphireshore_first_event_seconds",
    help: "Time from the arrival of a request to the first event of its stream, by route.",
    labelNames: ["route"],
    buckets: BUCKETS,
    registers,
  });
  const sent = new Counter({
    name: "samphireshore_sent_total",
    help: "Requests sent to workers, by service and version, where versions are followed.",
    labelNames: ["service", "version"],
    registers,
  });
  const receiveLimits = new Counter({
    name: "samphireshore_receive_limits_total",
    help: "Exchanges closed because the bytes received exceeded a limit, by what was received.",
    labelNames: ["part"],
    registers,
  });
  const callerLimits = new Counter({
    name: "samphireshore_caller_limits_total",
    help: "What callers lost because a limit on what is kept for them was exceeded, by limit.",
    labelNames: ["limit"],
    registers,
  });
  const changeDelay = new Histogram({
    name: "samphireshore_change_known_seconds",
    help: "Time from when the first instance knew a change of the store until this one did, by its way.",
    labelNames: ["way"],
    buckets: BUCKETS,
    registers,
  });
  return {
    answered: (route, status, milliseconds) => {
      answers.inc({ route, status: String(status) });
      duration.observe({ route }, milliseconds / MILLISECONDS_PER_SECOND);
    },
    firstEvent: (route, milliseconds) =>
      firstEvent.observe({ route }, milliseconds / MILLISECONDS_PER_SECOND),
    refused: (reason) => refused.inc({ reason }),
    cut: (reason) => cut.inc({ reason }),
    repeated: (cause) => repeated.inc({ cause }),
    sent: (service, version) => sent.inc({ service, version }),
    receiveLimitExceeded: (part) => receiveLimits.inc({ part }),
    callerLimitExceeded: (limit) => callerLimits.inc({ limit }),
    changeReceived: (source, milliseconds) =>
      changeDelay.observe({ way: source }, milliseconds / MILLISECONDS_PER_SECOND),
    addGauge: (name, help, read) => {
      new Gauge({
        name,
        help,
        registers,
        collect() {
          this.set(read());
        },
      });
    },
    addServiceGauge: (name, help, read) => {
      new Gauge({
        name,
        help,
        labelNames: ["service"],
        registers,
        collect() {
          this.reset();
          for (const [service, value] of read()) this.set({ service }, value);
        },
      });
    },
    text: () => registry.metrics(),
  };
}
