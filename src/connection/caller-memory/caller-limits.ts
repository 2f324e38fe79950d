/**
 * Bounds on callers that follow from the size of a VM.
 */

/** Size of a VM. */
export type VmSize = {
	/** Memory in megabytes of 1,048,576 bytes; 512 by default. */
	readonly memoryMb?: number;
	/** Descriptors that a process may open; 20,200 by default, which leaves 10,000 connections. */
	readonly maxDescriptors?: number;
};

/** Bounds on the requests and connections of callers. */
export type CallerBounds = {
	/** Memory in bytes for incomplete requests. */
	readonly maxHeldBytes: number;
	readonly maxConnections: number;
};

const defaultMemoryMb = 512;
const defaultMaxDescriptors = 20_200;
const bytesPerMb = 1024 * 1024;

/** Share of the memory; the heap, and the garbage of copied chunks until it is collected, need the rest. */
const heldShare = 1 / 8;

/** Descriptors kept for files. */
const fileDescriptors = 200;

/** Callers' share of the other descriptors; peers, store and upstreams (four connections to each) need the rest. */
const callerShare = 1 / 2;

/** Connections that are allowed on the smallest VM. */
const minConnections = 16;

/**
 * Gets the bounds on callers.
 * @param size - Size of the VM.
 */
export function getCallerBounds({memoryMb = defaultMemoryMb, maxDescriptors = defaultMaxDescriptors}: VmSize): CallerBounds {
	return {
		maxHeldBytes: Math.floor(memoryMb * bytesPerMb * heldShare),
		maxConnections: Math.max(minConnections, Math.floor((maxDescriptors - fileDescriptors) * callerShare)),
	};
}
