/**
 * Runs an upstream stand-in within a worker thread; started by {@link UpstreamWorker} only.
 */
import {parentPort, workerData} from 'node:worker_threads';
import {type UpstreamFaults} from './upstream-faults.js';
import {UpstreamStandIn} from './upstream-stand-in.js';
import {type UpstreamWorkerData, type UpstreamWorkerReply, type UpstreamWorkerRequest} from './upstream-worker.js';

const {runMs, ...options} = workerData as UpstreamWorkerData;
const upstream = new UpstreamStandIn({...options, getRunMs: () => runMs});

async function answer({id, command, faults}: UpstreamWorkerRequest): Promise<UpstreamWorkerReply> {
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
	parentPort!.postMessage(await answer(req));
	if (req.command === 'close') {
		parentPort!.close();
	}
});
