/**
 * Bounds on callers that follow from the size of a VM.
 */

/** Size of a VM. */
export type VmSize = {
	/** Memory in megabytes of 1,048,576 bytes, which bounds the connections, too; without it, 512 MB for incomplete requests, and no such bound. */
	readonly memoryMb?: number;
	/** Descriptors that a process may open; 20,200 by default, which leaves 10,000 connections. */
	readonly maxDescriptors?: number;
};

/** Bounds on the requests and connections of callers. */
export type CallerBounds = {
	/** Memory in bytes for incomplete requests. */
	readonly maxHeldBytes: number;
	readonly maxConnections: number;
	/** Connections that the kernel holds until they are accepted; further callers connect again after a second or more. */
	readonly maxQueuedConnections: number;
};

const defaultMemoryMb = 512;
const defaultMaxDescriptors = 20_200;
const bytesPerMb = 1024 * 1024;

/** Share of the memory; the heap, and the garbage of copied chunks until it is collected, need the rest. */
const heldShare = 1 / 8;

/** Share of a given memory for what callers have sent and the process has not read. */
const unreadShare = 1 / 4;

/** Largest amount that the kernel holds for a connection that nobody reads, in bytes: Linux's default receive buffer. */
const receiveBufferBytes = 131_072;

/** Share of the connections with such a buffer that are not accepted yet. */
const queuedShare = 1 / 2;

/** Maximum number of connections that are not accepted yet: Node's default. */
const maxQueuedConnections = 511;

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
export function getCallerBounds({memoryMb, maxDescriptors = defaultMaxDescriptors}: VmSize): CallerBounds {
	const byDescriptors = Math.floor((maxDescriptors - fileDescriptors) * callerShare);
	const byMemory = memoryMb === undefined ? Infinity : Math.floor(memoryMb * bytesPerMb * unreadShare / receiveBufferBytes);
	const queued = Math.max(minConnections, Math.min(maxQueuedConnections, Math.floor(byMemory * queuedShare)));
	return {
		maxHeldBytes: Math.floor((memoryMb ?? defaultMemoryMb) * bytesPerMb * heldShare),
		maxConnections: Math.max(minConnections, Math.min(byDescriptors, byMemory - queued)),
		maxQueuedConnections: queued,
	};
}
