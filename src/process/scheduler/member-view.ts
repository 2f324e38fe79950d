/**
 * Summary of the members of the deployment for the scheduler.
 */
import {type Incarnation, type Member} from '../../connection/index.js';

/** The entry VMs that own upstreams, by data centre, and those that can receive messages. */
export type MemberView = {
	/** Identifiers of the members that own upstreams, by data centre; includes this entry VM unless it is stopping. */
	readonly owners: ReadonlyMap<string, readonly string[]>;
	/** Identifiers of the other members that are up. */
	readonly up: ReadonlySet<string>;
	/** Data centre of each known member. */
	readonly dataCenters: ReadonlyMap<string, string>;
};

/**
 * Summarizes the members. A silent member stays an owner: its upstreams are transferred only once it is down.
 * @param self - This entry VM.
 * @param members - The other members.
 * @param isStopping - Whether this entry VM hands its upstreams over to the others of its data centre, if there are any.
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
			const ownerIds = owners.get(incarnation.dataCenter) ?? [];
			owners.set(incarnation.dataCenter, [...ownerIds, incarnation.id]);
		}
	}

	const locals = owners.get(self.dataCenter)!;
	if (isStopping && locals.length > 1) {
		owners.set(self.dataCenter, locals.filter(id => id !== self.id));
	}

	return {owners, up, dataCenters};
}
