/**
 * Metrics of the process: state, configuration, platform, peers and HTTP listeners.
 */
import {
	type MetricsSource, type Sample, type SourceMetric, getSamples,
} from './metrics-source.js';

/** Metrics about this process and its connections to peers, the platform and HTTP clients. */
export const processMetrics: readonly SourceMetric[] = [
	{
		name: 'endivemill_info',
		type: 'gauge',
		help: 'Always 1; the labels name this run of the entry VM.',
		labelNames: ['data_center', 'vm', 'incarnation'],
		read: ({status: {incarnation: {dataCenter, vm, id}}}) => [{labels: {data_center: dataCenter, vm, incarnation: id}, value: 1}], // eslint-disable-line @typescript-eslint/naming-convention
	},
	{
		name: 'endivemill_ready',
		type: 'gauge',
		help: '1 while the entry VM takes new work.',
		read: ({status}) => [{value: Number(status.isReady)}],
	},
	{
		name: 'endivemill_stopping',
		type: 'gauge',
		help: '1 while the entry VM stops gracefully.',
		read: ({status}) => [{value: Number(status.isStopping)}],
	},
	{
		name: 'endivemill_configuration_version',
		type: 'gauge',
		help: 'Version of the configuration in force.',
		read: ({status}) => [{value: status.configurationVersion}],
	},
	{
		name: 'endivemill_configuration_values_ignored_total',
		type: 'counter',
		help: 'Values of the configuration that were not taken, by reason.',
		labelNames: ['reason'],
		read: ({status: {configuration}}) => getSamples('reason', {invalid: configuration.refusedValues, older: configuration.olderValues}),
	},
	{
		name: 'endivemill_platform_up',
		type: 'gauge',
		help: '1 if the last read of the platform worked, by what was read.',
		labelNames: ['subject'],
		read: ({status: {configuration, vmList}}) => getSamples('subject', {
			configuration: Number(configuration.isPlatformUp === true), vms: Number(vmList.isPlatformUp === true),
		}),
	},
	{
		name: 'endivemill_platform_calls_total',
		type: 'counter',
		help: 'Calls to the platform, a waiting watch counted as one.',
		read: ({platformCalls}) => [{value: platformCalls}],
	},
	{
		name: 'endivemill_platform_failed_reads_total',
		type: 'counter',
		help: 'Reads of the platform that failed, by what was read.',
		labelNames: ['subject'],
		read: ({status: {configuration, vmList}}) => getSamples('subject', {configuration: configuration.failedReads, vms: vmList.failedReads}),
	},
	{
		name: 'endivemill_vm_list_invalid_entries',
		type: 'gauge',
		help: 'Entries of the list of VMs that are skipped as invalid.',
		read: ({status}) => [{value: status.vmList.invalidEntries}],
	},
	{
		name: 'endivemill_members',
		type: 'gauge',
		help: 'Other entry VMs known, by state.',
		labelNames: ['state'],
		read: ({status: {members}}) => getSamples('state', countBy(members.map(({state}) => state), ['up', 'silent', 'down'])),
	},
	{
		name: 'endivemill_peer_messages_total',
		type: 'counter',
		help: 'Messages between entry VMs, by kind of connection and direction.',
		labelNames: ['connection', 'direction'],
		read: source => readTraffic(source, 'messages'),
	},
	{
		name: 'endivemill_peer_bytes_total',
		type: 'counter',
		help: 'Bytes between entry VMs, by kind of connection and direction.',
		labelNames: ['connection', 'direction'],
		read: source => readTraffic(source, 'bytes'),
	},
	{
		name: 'endivemill_peer_faults_total',
		type: 'counter',
		help: 'Faults on the connections between entry VMs, by kind.',
		labelNames: ['fault'],
		read: ({status}) => getSamples('fault', status.peerTraffic.faults),
	},
	{
		name: 'endivemill_http_connections',
		type: 'gauge',
		help: 'Open HTTP connections, by door.',
		labelNames: ['door'],
		read: ({callerHttp, operatorHttp}) => getSamples('door', {caller: callerHttp.connections, operator: operatorHttp.connections}),
	},
	{
		name: 'endivemill_http_malformed_requests_total',
		type: 'counter',
		help: 'Requests that were not valid HTTP, too slow or with too long a head, by door.',
		labelNames: ['door'],
		read: ({callerHttp, operatorHttp}) => getSamples('door', {caller: callerHttp.malformed, operator: operatorHttp.malformed}),
	},
	{
		name: 'endivemill_http_dropped_connections_total',
		type: 'counter',
		help: 'Connections closed because there were too many, by door.',
		labelNames: ['door'],
		read: ({callerHttp, operatorHttp}) => getSamples('door', {caller: callerHttp.dropped, operator: operatorHttp.dropped}),
	},
	{
		name: 'endivemill_bad_requests_total',
		type: 'counter',
		help: 'Requests of callers that were refused as not valid, by problem.',
		labelNames: ['problem'],
		read: ({status}) => getSamples('problem', status.callers.badRequests),
	},
	{
		name: 'endivemill_caller_disconnects_total',
		type: 'counter',
		help: 'Callers that went away before their answer.',
		read: ({status}) => [{value: status.callers.disconnected}],
	},
	{
		name: 'endivemill_held_body_bytes',
		type: 'gauge',
		help: 'Bytes held for requests of callers.',
		read: ({status}) => [{value: status.callers.heldBytes}],
	},
	{
		name: 'endivemill_caller_connections_refused_total',
		type: 'counter',
		help: 'Connections of callers that were refused or closed, by cause.',
		labelNames: ['cause'],
		read: ({status}) => getSamples('cause', status.callers.refused),
	},
];

/**
 * Counts the occurrences of each value.
 * @param values - Values to count.
 * @param names - Values that are included even if they do not occur.
 */
export function countBy(values: readonly string[], names: readonly string[]): Readonly<Record<string, number>> {
	const counts = new Map<string, number>(names.map(name => [name, 0]));
	for (const value of values) {
		counts.set(value, (counts.get(value) ?? 0) + 1);
	}

	return Object.fromEntries(counts);
}

function readTraffic({status: {peerTraffic}}: MetricsSource, unit: 'messages' | 'bytes'): readonly Sample[] {
	return (['control', 'job'] as const).flatMap(connection => {
		const counts = peerTraffic[connection];
		return [
			{labels: {connection, direction: 'sent'}, value: counts[`${unit}Sent`]},
			{labels: {connection, direction: 'received'}, value: counts[`${unit}Received`]},
		];
	});
}
