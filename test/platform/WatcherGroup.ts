/** View watchers that connect to control as separate entries, and that lose power and restart together. */
import { create } from "@bufbuild/protobuf";
import { SystemClock } from "../../src/clock";
import { EntryEndpointSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { FollowedView, orderByAffinity, ViewWatcher } from "../../src/registration";
import { TransportPool } from "../../src/rpc";

const SILENT_LOGGER = { info: () => {}, warn: () => {}, error: () => {} } as never;
/** Entries do not restart at the same moment; their starts are spread over this time. */
const START_SPREAD_MS = 400;

/** A watcher and the view that it follows. */
interface WatcherWithView {
  readonly watcher: ViewWatcher;
  readonly view: FollowedView;
}

/** A group of watchers. */
export class WatcherGroup {
  private readonly _count: number;
  private readonly _seeds: readonly string[];
  private _watchers: readonly WatcherWithView[] = [];
  private readonly _timers = new Set<NodeJS.Timeout>();

  /** @param seeds - Addresses of control processes, host:port, that each watcher gets. */
  constructor(count: number, seeds: readonly string[]) {
    this._count = count;
    this._seeds = seeds;
  }

  /** Starts all watchers with empty views. */
  start(): void {
    this._watchers = Array.from({ length: this._count }, (_, i) => this._create(i));
    for (const [index, { watcher }] of this._watchers.entries()) {
      const timer = setTimeout(() => void watcher.run(), (START_SPREAD_MS * index) / this._count);
      this._timers.add(timer);
    }
  }

  /** Stops all watchers without notifying control. */
  stop(): void {
    for (const timer of this._timers) clearTimeout(timer);
    this._timers.clear();
    for (const { watcher } of this._watchers) watcher.stop();
    this._watchers = [];
  }

  /** Gets the lowest term among the leaders that the watchers follow; 0 if any watcher is not connected. */
  getLowestTerm(): number {
    const terms = this._watchers.map(({ watcher, view }) => (watcher.isConnected ? view.term : 0));
    return terms.length === 0 ? 0 : Math.min(...terms);
  }

  private _create(index: number): WatcherWithView {
    const view = new FollowedView();
    const watcher = new ViewWatcher({
      watcherId: `bench-${index}`,
      getEntry: () =>
        create(EntryEndpointSchema, { address: `127.0.0.1:${index + 1}`, failureDomain: "zone-a" }),
      getSeeds: () => this._seeds,
      orderCandidates: (addresses) => orderByAffinity(`bench-${index}`, addresses),
      transports: new TransportPool(undefined),
      view,
      clock: new SystemClock(),
      logger: SILENT_LOGGER,
      onChange: () => {},
      onDeclaration: () => {},
    });
    return { watcher, view };
  }
}
