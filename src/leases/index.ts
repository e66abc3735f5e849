/** Leases of entries, seen from both sides. */
export { EntryLease } from "./EntryLease";
export { getSafeWait, type LeaseHolder, LeaseTable, type Renewal } from "./LeaseTable";
