/**
 * Status of an upstream for operators.
 */
import {type UpstreamStatus} from '../task-scheduler.js';
import {type UpstreamEntry} from './upstream-entry.js';

/**
 * Gets the status of an upstream for operators.
 * @param entry - Upstream to describe.
 */
export function getUpstreamStatus(entry: UpstreamEntry): UpstreamStatus {
	const health = entry.health.getState();
	const state = entry.listed.state === 'leaving' ? 'leaving' : (health === 'healthy' ? 'live' : health);
	return {
		name: entry.listed.name,
		service: entry.listed.service,
		state,
		isOwned: entry.owned !== undefined,
		slots: entry.listed.slots,
		inUse: entry.running.size,
		leasedOut: entry.owned?.getLeasedOut() ?? 0,
		free: entry.owned?.getFree() ?? 0,
		held: entry.getHeldLeases().length,
		failurePercent: entry.health.getFailureRate() * 100,
		latencyMs: entry.health.getLatencyMs(),
	};
}
