/** Leases of entries, as the entry and the leader record them. */
export { EntryLease } from "./EntryLease";
export { getSafeWait, type LeaseHolder, LeaseTable, type Renewal } from "./LeaseTable";
