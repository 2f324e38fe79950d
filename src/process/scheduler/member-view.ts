/**
 * Members of the deployment, as the scheduler sees them.
 */
import {type Incarnation, type Member} from '../../connection/index.js';

/** The entry VMs that count slots, by data centre, and those that can be told something. */
export type MemberView = {
	/** Identifiers of the members that own upstreams, by data centre; this one among them. */
	readonly owners: ReadonlyMap<string, readonly string[]>;
	/** Identifiers of the other members that are up. */
	readonly up: ReadonlySet<string>;
	/** Data centre of each known member. */
	readonly dataCenters: ReadonlyMap<string, string>;
};

/**
 * Sums up the members. A silent one stays an owner: its upstreams change hands only once it is down.
 * @param self - This entry VM.
 * @param members - The others.
 * @param isStopping - Whether this entry VM leaves its upstreams to the others of its data centre.
 */
export function createMemberView(self: Incarnation, members: readonly Member[], isStopping = false): MemberView {
	const owners = new Map<string, string[]>([[self.dataCenter, [self.id]]]);
	const up = new Set<string>();
	const dataCenters = new Map([[self.id, self.dataCenter]]);
	for (const {incarnation, state, isLeaving} of members) {
		dataCenters.set(incarnation.id, incarnation.dataCenter);
		if (state === 'up') {
			up.add(incarnation.id);
		}

		if (state !== 'down' && !isLeaving) {
			const known = owners.get(incarnation.dataCenter) ?? [];
			owners.set(incarnation.dataCenter, [...known, incarnation.id]);
		}
	}

	const locals = owners.get(self.dataCenter)!;
	if (isStopping && locals.length > 1) {
		owners.set(self.dataCenter, locals.filter(id => id !== self.id));
	}

	return {owners, up, dataCenters};
}
