/** Declarations under operator-chosen versions: routes, services, organisations. */
export { checkDeclaration } from "./checkDeclaration";
export type * from "./Declaration";
export { packDocument, unpackDocument } from "./documents";
export { RouteTable } from "./RouteTable";
