/** What all processes share. */
export { answerHealth, type ReadinessCheck, startHealthServer } from "./HealthServer";
export { LoadWatch, type LoadWatchOptions } from "./LoadWatch";
export { reportResources } from "./reportResources";
export { runProcess } from "./runProcess";
export { SuspensionWatch, type SuspensionWatchOptions } from "./SuspensionWatch";
export { awaitStopSignal } from "./signals";
