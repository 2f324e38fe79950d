import {readFile} from 'node:fs/promises';
import test from 'ava';
import {createLocalCluster} from '../../src/lab/index.js';

type Call = {
	readonly method: string;
	readonly url: string;
	readonly headers: Record<string, string>;
	readonly body?: string;
};

/** Reads the curl commands of the page; `parseCall` supports only the options that they use. */
async function readCurlLines(): Promise<readonly string[]> {
	const page = await readFile('docs/CALLERS.md', 'utf8');
	return page.split('\n').filter(line => line.startsWith('curl '));
}

function parseCall(line: string): Call {
	const tokens = Array.from(line.matchAll(/'(?<single>[^']*)'|"(?<double>[^"]*)"|(?<bare>\S+)/gv), ({groups}) =>
		groups!.single ?? groups!.double ?? groups!.bare!).slice(1);
	const headers: Record<string, string> = {};
	let method: string | undefined;
	let body: string | undefined;
	let url = '';
	for (let index = 0; index < tokens.length; index++) {
		const token = tokens[index]!;
		switch (token) {
			case '-X': {
				method = tokens[++index]!;

				break;
			}

			case '-d': {
				body = tokens[++index]!;

				break;
			}

			case '-H': {
				const [name, value] = tokens[++index]!.split(': ') as [string, string];
				headers[name] = value;

				break;
			}

			default: {
				url = token;
			}
		}
	}

	return {
		method: method ?? (body === undefined ? 'GET' : 'POST'), url, headers, body,
	};
}

test('the curl commands of the callers\' page succeed in order', async t => {
	const cluster = await createLocalCluster();
	t.teardown(async () => cluster.close());
	const addresses = cluster.getCallerAddresses();
	let coordinator = '';
	const lines = await readCurlLines();
	t.true(lines.length >= 10);
	for (const [index, line] of lines.entries()) {
		const entry = addresses[index % addresses.length]!;
		const {method, url, headers, body} = parseCall(line.replaceAll('$ENTRY', entry).replaceAll('$COORDINATOR', coordinator));
		const res = await fetch(url, {method, headers, body});
		const text = await res.text();
		t.true(res.status < 300, `${line}: ${res.status} ${text}`);
		if (coordinator === '') {
			coordinator = (JSON.parse(text) as {coordinator: string}).coordinator;
		}
	}

	const starts = cluster.getUpstreams().reduce((sum, {standIn}) => sum + standIn.getCounts().starts, 0);
	t.is(starts, 6);
});
