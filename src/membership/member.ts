/** Membership in the consensus group, shared by all kinds of control process. */
import { randomBytes } from "node:crypto";
import { Effect } from "effect";
import type { Clock } from "../clock";
import {
  ConsensusDriver,
  createMembership,
  DEFAULT_TIMING,
  getMember,
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

const JOIN_TIMEOUT_MS = 2_000;
const JOIN_INTERVAL_MS = 300;
/**
 * An election takes less time; a member that has received no heartbeat of a leader for longer may have been
 * replaced or removed.
 */
const MEMBER_JOIN_TIMEOUT_MS = 2_000;

/** Gets the id of a bootstrap member, which belongs to the group from its first start. */
export function getBootstrapMemberId(name: string): MemberId {
  return MemberId(`${name}.0`);
}

/** Creates a voting member in the form in which the log stores it. */
export function createMember(name: string, id: MemberId, address: string, failureDomain: string): Member {
  return { $typeName: "ploverstage.v1.Member", id, name, address, learner: false, failureDomain };
}

/**
 * Opens a data folder. An empty folder gets a new identity without a membership: the member must join the
 * group.
 */
export async function openDataFolder(folder: string, name: string, logger: Logger) {
  if ((await FileStorage.getMemberId(folder)) === undefined) {
    const id = MemberId(`${name}.${randomBytes(6).toString("hex")}`);
    await FileStorage.create(folder, id, undefined);
    logger.warn({
      event: "data_folder_created",
      member: id,
      reason: "the folder was empty; joining as a learner",
    });
  }
  return FileStorage.open(folder);
}

export interface MemberDriverOptions {
  readonly storage: FileStorage;
  readonly stored: StoredState;
  readonly transport: Transport;
  readonly getAddress: (memberId: MemberId) => string | undefined;
  readonly clock: Clock;
  readonly maxVoters?: number;
  readonly onFatal: (cause: unknown) => void;
}

/** Creates the driver of a member from the contents of its data folder. */
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

/** Serves interfaces of the project's own RPC protocol for as long as the scope is open. */
export function serveRpc(
  listen: string,
  secret: string | undefined,
  interfaceName: string,
  routes: RpcServerOptions["routes"],
  serverOptions: Pick<RpcServerOptions, "interceptors" | "onSession" | "calls"> = { interceptors: [] },
) {
  const secretGuards = secret === undefined ? [] : [createSecretGuard(secret, interfaceName)];
  const options = { ...serverOptions, interceptors: [...serverOptions.interceptors, ...secretGuards] };
  return Effect.acquireRelease(
    Effect.tryPromise({
      try: () => RpcServer.start({ listen, routes, ...options }),
      catch: (cause) => cause,
    }),
    (server) => Effect.promise(() => server.stop()),
  );
}

/**
 * Checks whether a member leads, has received a message of its leader lately, or receives messages of a
 * majority that is electing a leader.
 */
export function hasLeaderOrElection(
  now: number,
  node: Pick<RaftNode, "role" | "getLeaderContactAt" | "isElecting">,
): boolean {
  const contactAt = node.getLeaderContactAt() ?? Number.NEGATIVE_INFINITY;
  return node.role === "leader" || now - contactAt <= MEMBER_JOIN_TIMEOUT_MS || node.isElecting(now);
}

export interface JoinOptions {
  readonly driver: ConsensusDriver;
  /** This member. */
  readonly member: Member;
  /** Gets the addresses at which other members may be reachable now. */
  readonly getAddresses: () => readonly string[];
  readonly followsHints: boolean;
  readonly transports: TransportPool;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Decides when a process sends a join request.
 *
 * The leader makes its learners voters without a further request. A member without a leader is usually taking
 * part in the election of one, so it sends no join request until the election must have finished. Pure.
 */
export class JoinTimeout {
  private _leaderlessSince: number | undefined;

  /**
   * Checks whether the process must send a join request now.
   * @param isMember - Whether it is a voter or a learner, according to its log.
   * @param hasLeaderOrElection - Whether it receives heartbeats of a leader, or messages of a majority that is
   * electing one.
   */
  isExpired(now: number, isMember: boolean, hasLeaderOrElection: boolean): boolean {
    if (!isMember) return true;
    if (hasLeaderOrElection) {
      this._leaderlessSince = undefined;
      return false;
    }
    this._leaderlessSince ??= now;
    return now - this._leaderlessSince > MEMBER_JOIN_TIMEOUT_MS;
  }
}

/**
 * Sends join requests to the leader until this process is a member, and again whenever it has received no
 * heartbeat of a leader for longer than an election takes: the leader may have considered this member removed
 * permanently and given its place to another one.
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
  const joinTimeout = new JoinTimeout();
  const attempt = Effect.promise(async () => {
    const { node } = driver;
    const isMember = getMember(node.membership, node.id) !== undefined;
    const now = clock.getMonotonicMs();
    if (!joinTimeout.isExpired(now, isMember, hasLeaderOrElection(now, node))) return;
    if (getAddresses().length === 0) return;
    client ??= new LeaderClient(ConsensusService, clientOptions);
    await client
      .call((leader, timeoutMs) => leader.join({ member }, { timeoutMs }), JOIN_TIMEOUT_MS)
      .catch((cause: unknown) => logger.warn({ event: "join_failed", reason: String(cause) }));
  });
  return attempt.pipe(
    Effect.tap(() => Effect.sleep(JOIN_INTERVAL_MS)),
    Effect.forever,
  );
}
