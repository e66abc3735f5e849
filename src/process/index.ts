/** Parts shared by all processes. */
export { handleHealthRequest, type ReadinessCheck, startHealthServer } from "./HealthServer";
export { LoadMonitor, type LoadMonitorOptions } from "./LoadMonitor";
export { MemoryUse } from "./MemoryUse";
export { ProcessSignals, type SignalSource, type StopSignal } from "./ProcessSignals";
export { reportResources } from "./reportResources";
export { runProcess } from "./runProcess";
export { SuspensionMonitor, type SuspensionMonitorOptions } from "./SuspensionMonitor";
