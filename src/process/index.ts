/** Parts shared by all processes. */
export { answerHealth, type ReadinessCheck, startHealthServer } from "./HealthServer";
export { LoadWatch, type LoadWatchOptions } from "./LoadWatch";
export { ProcessSignals, type SignalSource, type StopSignal } from "./ProcessSignals";
export { reportResources } from "./reportResources";
export { runProcess } from "./runProcess";
export { SuspensionWatch, type SuspensionWatchOptions } from "./SuspensionWatch";
