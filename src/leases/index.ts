/** Leases of entries, as the entry and the leader record them. */
export { EntryLease } from "./EntryLease";
export { getExpiryWaitMs, type LeaseHolder, LeaseTable, type Renewal } from "./LeaseTable";
