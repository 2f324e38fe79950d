/**
 * Decoder of the upstreams' entries in the store.
 */
import {type UpstreamDescription} from '../pool/index.js';
import {type ColdLimits, defaultColdLimits} from '../scheduling/index.js';
import {parseJson} from './decode-configuration.js';
import {type StoredItem} from './store-client.js';
import {upstreamEntrySchema} from './wire-messages.js';

/** Prefix of the upstreams' entries. */
export const upstreamPrefix = 'servers/';

/** Characters of an identifier: those of a header value, without the separators of keys. */
const identifierPattern = /^[!-.0-~]+$/v;

/** Index of the rack in an upstream's labels; the first label is the kind of the upstream. */
const rackPosition = 1;

/**
 * Decodes an entry; returns `undefined` if it is invalid.
 * @param item - Item of the store.
 * @param now - Monotonic time at which it was read.
 * @param coldLimits - How much slower cold upstreams are.
 */
export function decodeUpstream({key, value}: Pick<StoredItem, 'key' | 'value'>, now = 0, coldLimits: ColdLimits = defaultColdLimits): UpstreamDescription | undefined {
	const id = key.slice(upstreamPrefix.length);
	const parsed = upstreamEntrySchema.safeParse(parseJson(value));
	if (!parsed.success || !identifierPattern.test(id)) {
		return undefined;
	}

	const {service, address, zone, state, capacity, labels, born, cold_remaining_ms: coldMs} = parsed.data;
	return {
		id,
		bornMs: born,
		address,
		dataCenter: zone,
		service,
		rack: labels[rackPosition] ?? '',
		labels,
		capacity: {cpu: capacity.cpu, memoryMb: capacity.mem_mb, accelerators: capacity.gpu},
		isLeaving: state === 'draining',
		...(coldMs > 0 && {cold: {...coldLimits, until: now + coldMs}}),
	};
}
