/** The interfaces that a control process serves. */
export { addConsensusRoutes } from "./consensusRoutes";
export { addEntryRoutes } from "./entryRoutes";
export { addOperatorRoutes } from "./operatorRoutes";
