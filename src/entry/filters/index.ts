/** The filters that a request passes, in order. */

export type { ClassifiedRequest } from "../requests";
export { Admission, type Placer } from "./Admission";
export { type AcceptLimits, acceptRequest, HEADER } from "./accept";
export { type ClassifyFacts, classifyRequest } from "./classify";
export { identifyRequest } from "./identify";
export { ModelDispatch, type ModelRequest, type ModelResult } from "./ModelDispatch";
export { Account, type Ending } from "./RequestRecorder";
export { ServiceDispatch, type ServiceRequest, type ServiceResult } from "./ServiceDispatch";
