/** The RPC services of a control process. */
export { addEntryRoutes } from "./entryRoutes";
export { addOperatorRoutes } from "./operatorRoutes";
