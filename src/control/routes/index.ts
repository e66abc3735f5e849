/** The interfaces that a control process serves. */
export { addEntryRoutes } from "./entryRoutes";
export { addOperatorRoutes } from "./operatorRoutes";
