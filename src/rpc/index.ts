/** The protocol between the system's own processes, and with operators. */

export { CallTrace } from "./CallTrace";
export { createCallCounter } from "./callCounter";
export { createRpcTransport } from "./createRpcTransport";
export { createLeaderRefusal, LEADER_HEADER, LeaderClient, type LeaderClientOptions } from "./LeaderClient";
export { RpcServer, type RpcServerOptions } from "./RpcServer";
export { SearchBackoff } from "./SearchBackoff";
export { createSecretGuard, createSecretSender, isSecret } from "./secrets";
export { TransportPool } from "./TransportPool";
