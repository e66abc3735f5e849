import { Agent, type AgentOptions } from "node:http";
import type { SocketConstructorOpts, TcpNetConnectOpts } from "node:net";
import { ClientSocket } from "./ClientSocket";

/** Creates an agent whose connections never report a reset as the end of an answer. */
export function createAgent(options: AgentOptions = {}): Agent {
  const agent = new Agent(options);
  agent.createConnection = (connection) => {
    const socket = new ClientSocket(connection as SocketConstructorOpts);
    if (connection.timeout !== undefined) socket.setTimeout(connection.timeout);
    return socket.connect(connection as TcpNetConnectOpts);
  };
  return agent;
}
