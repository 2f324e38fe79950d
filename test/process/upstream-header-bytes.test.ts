import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import test from 'ava';
import {createLocalCluster} from '../../src/lab/index.js';

test('a header with non-ASCII bytes in an upstream\'s answer does not crash the process', async t => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end(Buffer.from('HTTP/1.1 200 OK\r\nX-Name: Þórður ✓\r\nContent-Length: 2\r\n\r\nok'));
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const cluster = await createLocalCluster({dataCenters: [{name: 'dc1', entryVms: 1, upstreams: 0}]});
	t.teardown(async () => cluster.close());
	cluster.platform.addVm({
		kind: 'upstream', name: 'u1', dataCenter: 'dc1', state: 'live', service: 'demo', address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		slots: 8, connections: 8, cores: 1, memoryMb: 1, accelerators: 0, rack: '',
	});
	const [entryVm] = cluster.getEntryVms();
	await entryVm!.getComponents().vmList.getStream().filter(({upstreams}) => upstreams.length === 1).take(1).drain();
	const res = await fetch(`http://${entryVm!.getCallerAddress()}/v1/services/demo/t`);
	t.is(res.status, 200);
	t.is(await res.text(), 'ok');
});
