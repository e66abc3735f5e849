/** What every kind of control process needs to be a member of the agreed state. */
import { randomBytes } from "node:crypto";
import { Effect } from "effect";
import type { Clock } from "../clock";
import {
  ConsensusDriver,
  createMembership,
  DEFAULT_TIMING,
  isVoter,
  RaftNode,
  SeededRandom,
  type Transport,
} from "../consensus";
import { ConsensusService, type Member } from "../gen/ploverstage/v1/consensus_pb";
import { MemberId } from "../ids";
import { FileStorage, type StoredState } from "../log";
import type { Logger } from "../metrics";
import {
  createSecretGuard,
  LeaderClient,
  RpcServer,
  type RpcServerOptions,
  type TransportPool,
} from "../rpc";

const JOIN_MS = 2_000;
const JOIN_PAUSE_MS = 300;
/** An election takes less; a voter that hears of no leader for longer may have been replaced. */
const VOTER_PATIENCE_MS = 2_000;

/** Gets the id of a member that is there from the first start. */
export function getBootstrapMemberId(name: string): MemberId {
  return MemberId(`${name}.0`);
}

/** Makes a member as the log keeps it. */
export function createMember(name: string, id: MemberId, address: string, failureDomain: string): Member {
  return { $typeName: "ploverstage.v1.Member", id, name, address, learner: false, failureDomain };
}

/** Opens a data folder; an empty one gets a new identity, without members: it waits to be let in. */
export async function openDataFolder(folder: string, name: string, logger: Logger) {
  if ((await FileStorage.getMemberId(folder)) === undefined) {
    const id = MemberId(`${name}.${randomBytes(6).toString("hex")}`);
    await FileStorage.create(folder, id, undefined);
    logger.warn({ event: "data_folder_created", member: id, reason: "it was empty; joining as a learner" });
  }
  return FileStorage.open(folder);
}

/** What a member's driver is made of. */
export interface MemberDriverOptions {
  readonly storage: FileStorage;
  readonly stored: StoredState;
  readonly transport: Transport;
  readonly getAddress: (memberId: MemberId) => string | undefined;
  readonly clock: Clock;
  readonly maxVoters?: number;
  readonly onFatal: (cause: unknown) => void;
}

/** Makes the driver of a member from what its disk held. */
export function createMemberDriver(options: MemberDriverOptions): ConsensusDriver {
  const { storage, stored, transport, getAddress, clock, maxVoters, onFatal } = options;
  const node = new RaftNode({
    id: stored.memberId,
    membership: createMembership([]),
    hardState: stored.hardState,
    snapshot: stored.snapshot,
    entries: stored.entries,
    timing: DEFAULT_TIMING,
    random: new SeededRandom(randomBytes(4).readInt32LE()),
    now: clock.getMonotonicMs(),
  });
  const { hardState, snapshot } = stored;
  return new ConsensusDriver({
    node,
    hardState,
    snapshot,
    storage,
    transport,
    getAddress,
    clock,
    maxVoters,
    onFatal,
  });
}

/** Serves interfaces of our own protocol for as long as the scope is open. */
export function serveRpc(
  listen: string,
  secret: string | undefined,
  interfaceName: string,
  routes: RpcServerOptions["routes"],
  watching: Pick<RpcServerOptions, "interceptors" | "onSession" | "calls"> = { interceptors: [] },
) {
  const guards = secret === undefined ? [] : [createSecretGuard(secret, interfaceName)];
  const options = { ...watching, interceptors: [...watching.interceptors, ...guards] };
  return Effect.acquireRelease(
    Effect.tryPromise({
      try: () => RpcServer.start({ listen, routes, ...options }),
      catch: (cause) => cause,
    }),
    (server) => Effect.promise(() => server.stop()),
  );
}

/** What joining needs. */
export interface JoinOptions {
  readonly driver: ConsensusDriver;
  /** This member. */
  readonly member: Member;
  /** Gives where other members may be found now. */
  readonly getAddresses: () => readonly string[];
  readonly followsHints: boolean;
  readonly transports: TransportPool;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * When a member asks to be let in.
 *
 * One that votes mostly hears of no leader because there is none yet: it takes part in electing
 * one, and asks nobody meanwhile. Pure.
 */
export class JoinTimeout {
  private _leaderlessSince: number | undefined;

  /**
   * Checks whether the member has to ask now.
   * @param isSettling - Whether it hears a leader, or a majority that elects one.
   */
  isExpired(now: number, votes: boolean, isSettling: boolean): boolean {
    if (!votes) return true;
    if (isSettling) {
      this._leaderlessSince = undefined;
      return false;
    }
    this._leaderlessSince ??= now;
    return now - this._leaderlessSince > VOTER_PATIENCE_MS;
  }
}

/**
 * Asks the leader to let this member in, until it votes; and again whenever it hears of no
 * leader: it may have been taken for gone and its place given to another.
 */
export function joinMembership(options: JoinOptions): Effect.Effect<never> {
  const { driver, member, getAddresses, followsHints, transports, clock, logger } = options;
  const clientOptions = {
    get addresses() {
      return getAddresses();
    },
    followsHints,
    transports,
    clock,
  };
  let client: LeaderClient<typeof ConsensusService> | undefined;
  const patience = new JoinTimeout();
  const step = Effect.promise(async () => {
    const { node } = driver;
    const votes = isVoter(node.membership, node.id);
    const now = clock.getMonotonicMs();
    const isSettling = node.leaderId !== "" || node.isElecting(now);
    if (!patience.isExpired(now, votes, isSettling) || getAddresses().length === 0) return;
    client ??= new LeaderClient(ConsensusService, clientOptions);
    await client
      .call((leader, timeoutMs) => leader.join({ member }, { timeoutMs }), JOIN_MS)
      .catch((cause: unknown) => logger.warn({ event: "join_failed", reason: String(cause) }));
  });
  return step.pipe(
    Effect.tap(() => Effect.sleep(JOIN_PAUSE_MS)),
    Effect.forever,
  );
}
