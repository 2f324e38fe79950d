export {
	createPlatformStandIn, PlatformStandIn, type PlatformFaults, type PlatformStandInOptions,
} from './platform-stand-in.js';
