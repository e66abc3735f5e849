/** Serves the agreement protocol's messages and joining members. */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import type { ConsensusDriver } from "../consensus";
import { AbsentLeader } from "../errors";
import { ConsensusService, DeliverResponseSchema } from "../gen/ploverstage/v1/consensus_pb";
import { createLeaderRefusal } from "../rpc";

/** Adds the consensus service to a router. */
export function addConsensusRoutes(router: ConnectRouter, driver: ConsensusDriver): void {
  const delivered = create(DeliverResponseSchema);
  router.service(ConsensusService, {
    async deliver(requests) {
      for await (const request of requests) driver.deliver(request.messages);
      return delivered;
    },
    join(request) {
      try {
        return { voting: driver.addJoiningMember(request.member!) };
      } catch (cause) {
        if (cause instanceof AbsentLeader) throw createLeaderRefusal(cause.leaderAddress);
        throw cause;
      }
    },
    identity() {
      return { memberId: driver.node.id, term: driver.node.term, lastIndex: driver.node.log.lastIndex };
    },
  });
}
