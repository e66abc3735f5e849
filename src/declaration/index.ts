/** Declarations of routes, services and organisations. Operators choose their version numbers. */
export { checkDeclaration } from "./checkDeclaration";
export type * from "./Declaration";
export { packDocument, unpackDocument } from "./documents";
export { RouteTable } from "./RouteTable";
