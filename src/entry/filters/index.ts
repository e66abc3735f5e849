/** The filters for requests, in the order in which a request passes them. */

export type { ClassifiedRequest } from "../requests";
export { Admission, type Placer } from "./Admission";
export { type AcceptLimits, acceptRequest, REQUEST_HEADER } from "./accept";
export { type ClassificationContext, classifyRequest } from "./classify";
export { identifyRequest } from "./identify";
export { ModelDispatch, type ModelRequest, type ModelResult } from "./ModelDispatch";
export { type RequestRecord, RequestRecorder } from "./RequestRecorder";
export { ServiceDispatch, type ServiceRequest, type ServiceResult } from "./ServiceDispatch";
