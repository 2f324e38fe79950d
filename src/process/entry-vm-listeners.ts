/**
 * The HTTP listeners of an entry VM, for callers and for operators.
 */
import {createHttpListener} from '../connection/index.js';
import {type EntryVmListeners, type EntryVmComponents, isEntryVmReady} from './entry-vm.js';
import {type EntryVmOptions} from './entry-vm-options.js';
import {getEntryVmStatus} from './entry-vm-status.js';
import {createOperatorAccessCheck} from './operator-access.js';
import {OperatorApi} from './operator-api.js';

const maxOperatorConnections = 256;

/**
 * Creates the listeners for callers and operators; both accept requests immediately.
 * @param options - Settings of the entry VM.
 * @param components - Components of the entry VM.
 * @param startDrain - Starts the graceful stop.
 * @internal
 */
export async function createListeners(options: EntryVmOptions, components: EntryVmComponents, startDrain: () => void): Promise<EntryVmListeners> {
	const {callerApi, callerMemory, events, metrics} = components;
	const operatorApi = new OperatorApi({
		events,
		isReady: () => isEntryVmReady(components),
		getStatus: () => getEntryVmStatus(components),
		getMetrics: async () => metrics.getText({
			status: getEntryVmStatus(components),
			platformCalls: options.platform.getCallCount(),
			callerHttp: caller.getCounters(),
			operatorHttp: operator.getCounters(),
		}),
		startDrain,
		isAllowed: createOperatorAccessCheck({token: options.operatorToken, acceptsCertificates: options.tls?.operator?.hasAuthorities}),
	});
	const operator = await createHttpListener({
		address: options.operatorAddress,
		tls: options.tls?.operator,
		requiresClientCertificate: false,
		maxConnections: maxOperatorConnections,
		handler(req, res) {
			void operatorApi.handleRequest(req, res);
		},
	});
	const caller = await createHttpListener({
		...options.limits?.http,
		address: options.callerAddress,
		tls: options.tls?.caller,
		memory: callerMemory,
		handler(req, res) {
			void callerApi.handleRequest(req, res);
		},
	});
	return {caller, operator};
}
