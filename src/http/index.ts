/** HTTP/1.1 client for endpoints and the platform, and a JSON server. */
export { breakOff, breakOffNow, closeAfter, endWhole } from "./answerEnd";
export { type ConnectionLimit, Connections } from "./Connections";
export { checkServerRuns } from "./checkServerRuns";
export { getJsonCost } from "./getJsonCost";
export { type HttpCall, HttpClient, type ProbeOutcome, splitAddress } from "./HttpClient";
export { hasBody } from "./hasBody";
export { isConnectionRefused } from "./isConnectionRefused";
export { isFramed } from "./isFramed";
export {
  createJson,
  type JsonAnswer,
  JsonServer,
  type JsonServerOptions,
  serve,
} from "./JsonServer";
export { listen } from "./listen";
export { resetConnection } from "./resetConnection";
