/** Watchers that are to control as entries of their own, and lose power and come back together. */
import { SystemClock } from "../../src/clock";
import { FollowedView, orderByAffinity, ViewWatcher } from "../../src/registration";
import { TransportPool } from "../../src/rpc";

const SILENT_LOGGER = { info: () => {}, warn: () => {}, error: () => {} } as never;
/** Entries don't come back all at the same moment. */
const START_SPREAD_MS = 400;

/** A watcher and the view that it holds. */
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

  /**
   * @param seeds - host:port of control processes that each of them is told of.
   */
  constructor(count: number, seeds: readonly string[]) {
    this._count = count;
    this._seeds = seeds;
  }

  /** Starts all of them, knowing nothing. */
  start(): void {
    this._watchers = Array.from({ length: this._count }, (_, i) => this._create(i));
    for (const [index, { watcher }] of this._watchers.entries()) {
      const timer = setTimeout(() => void watcher.run(), (START_SPREAD_MS * index) / this._count);
      this._timers.add(timer);
    }
  }

  /** Ends all of them without a word. */
  stop(): void {
    for (const timer of this._timers) clearTimeout(timer);
    this._timers.clear();
    for (const { watcher } of this._watchers) watcher.stop();
    this._watchers = [];
  }

  /** Gets the lowest term of a leader that any of them follows now; 0 while one follows none. */
  getLowestTerm(): number {
    const terms = this._watchers.map(({ watcher, view }) => (watcher.isConnected ? view.term : 0));
    return terms.length === 0 ? 0 : Math.min(...terms);
  }

  private _create(index: number): WatcherWithView {
    const view = new FollowedView();
    const watcher = new ViewWatcher({
      watcherId: `bench-${index}`,
      entry: {
        $typeName: "ploverstage.v1.EntryEndpoint",
        address: `127.0.0.1:${index + 1}`,
        failureDomain: "zone-a",
      },
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
