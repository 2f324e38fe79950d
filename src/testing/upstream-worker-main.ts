/**
 * Entry point of the worker thread that runs an upstream stand-in; started by {@link createUpstreamWorker}.
 */
import {parentPort, workerData} from 'node:worker_threads';
import {type UpstreamFaults} from './upstream-faults.js';
import {UpstreamStandIn} from './upstream-stand-in.js';
import {type UpstreamWorkerData, type UpstreamWorkerReply, type UpstreamWorkerRequest} from './upstream-worker.js';

const {runMs, ...options} = workerData as UpstreamWorkerData;
const upstream = new UpstreamStandIn({...options, getRunMs: () => runMs});

async function execute({id, command, faults}: UpstreamWorkerRequest): Promise<UpstreamWorkerReply> {
	if (command === 'close') {
		await upstream.close();
	} else if (command === 'faults') {
		await upstream.setFaults(faults!);
	}

	return {
		id, address: upstream.getAddress(), counts: upstream.getCounts(), record: command === 'record' ? upstream.getRecord() : [],
	};
}

await upstream.listen();
parentPort!.on('message', async (req: UpstreamWorkerRequest) => {
	parentPort!.postMessage(await execute(req));
	if (req.command === 'close') {
		parentPort!.close();
	}
});
