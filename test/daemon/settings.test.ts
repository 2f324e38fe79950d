import test from 'ava';
import {type Settings, getPrintableSettings, parseSettings} from '../../src/daemon/index.js';
import {
	getFlag, getVariable, settingNames, settingTable,
} from '../../src/daemon/setting-table.js';
import {getTlsFile} from '../support/tls-files.js';

const peerKey = 'a-peer-key-of-24-letters';
const requiredFlags = [
	'--deployment',
	'sangha',
	'--data-center',
	'kolkata',
	'--vm',
	'entry-1',
	'--caller-address',
	'10.0.0.1:7300',
	'--operator-address',
	'10.0.0.1:7301',
	'--peer-address',
	'10.0.0.1:7302',
	'--platform-urls',
	'http://10.0.0.9:2379',
];
const validFlags = [...requiredFlags, '--peer-key', peerKey];

function parseValid(argv: readonly string[], env: Record<string, string> = {}): Settings {
	const result = parseSettings(argv, env);
	if (!result.ok) {
		throw new Error(JSON.stringify(result));
	}

	return result.settings;
}

function getFaults(argv: readonly string[], env: Record<string, string> = {}, readFile?: (path: string) => string): readonly string[] {
	const result = parseSettings(argv, env, {readFile});
	return !result.ok && result.kind === 'faults' ? result.faults : [];
}

test('missing settings get their defaults', t => {
	const settings = parseValid(validFlags);
	t.is(settings.maxBodyBytes, 8 * 1024 * 1024);
	t.is(settings.logLevel, 'info');
	t.deepEqual(settings.peerSeeds, []);
	t.is(settings.operatorTokenFile, undefined);
});

test('every setting can be given by its variable, and a flag takes precedence', t => {
	const env: Record<string, string> = {[getVariable('maxBodyBytes')]: '2048', [getVariable('peerSeeds')]: '10.0.0.2:1, [::1]:2', [getVariable('logLevel')]: ''};
	for (const [index, flag] of validFlags.entries()) {
		if (index % 2 === 0) {
			env[`ENDIVEMILL_${flag.slice(2).replaceAll('-', '_').toUpperCase()}`] = validFlags[index + 1]!;
		}
	}

	const fromVariables = parseValid([], env);
	t.like(fromVariables, {
		dataCenter: 'kolkata', maxBodyBytes: 2048, peerSeeds: ['10.0.0.2:1', '[::1]:2'], logLevel: 'info', peerKey,
	});
	t.is(parseValid(['--max-body-bytes=4096', '--vm', 'entry-2'], env).maxBodyBytes, 4096);
	t.is(parseValid(['--vm', 'entry-2'], env).vm, 'entry-2');
});

test('each fault is reported on one line that names the flag and the variable', t => {
	t.deepEqual(getFaults([]).map(line => line.split(':')[0]), [
		'--deployment (ENDIVEMILL_DEPLOYMENT)',
		'--data-center (ENDIVEMILL_DATA_CENTER)',
		'--vm (ENDIVEMILL_VM)',
		'--caller-address (ENDIVEMILL_CALLER_ADDRESS)',
		'--operator-address (ENDIVEMILL_OPERATOR_ADDRESS)',
		'--peer-address (ENDIVEMILL_PEER_ADDRESS)',
		'--platform-urls (ENDIVEMILL_PLATFORM_URLS)',
		'--peer-key (ENDIVEMILL_PEER_KEY), --peer-key-file (ENDIVEMILL_PEER_KEY_FILE)',
	]);
	const invalidValues: ReadonlyArray<readonly [flag: string, value: string]> = [
		['--deployment', 'UPPER'],
		['--caller-address', 'localhost:80'],
		['--caller-address', '10.0.0.1:65536'],
		['--caller-address', '[10.0.0.1]:80'],
		['--platform-urls', 'ftp://a'],
		['--platform-urls', 'http://user:word@a'],
		['--max-body-bytes', '1e9'],
		['--max-body-bytes', '-1'],
		['--max-connections', '0'],
		['--log-level', 'loud'],
		['--peer-seeds', '10.0.0.1'],
	];
	for (const [flag, value] of invalidValues) {
		const [line, ...others] = getFaults([...validFlags, `${flag}=${value}`]);
		t.regex(line ?? '', new RegExp(`^${flag} \\(ENDIVEMILL_[A-Z_]+\\): expected .*, got `, 'v'));
		t.true(line?.endsWith(JSON.stringify(value)));
		t.deepEqual(others, []);
	}

	t.deepEqual(getFaults([...validFlags, '--max-bodybytes=1', '--speed', '9']), ['--max-bodybytes: unknown flag', '--speed: unknown flag']);
	t.deepEqual(getFaults([...validFlags, 'word']), ['expected flags only, got a positional argument']);
	t.is(getFaults([...validFlags, '--vm']).length, 1);
});

test('conflicting settings are faults', t => {
	const cases: ReadonlyArray<readonly [flags: readonly string[], pattern: RegExp]> = [
		[['--peer-address', '0.0.0.0:7302'], /peer-address.*wildcard/v],
		[['--peer-address', '10.0.0.1:7300'], /caller-address.*peer-address.*must differ/v],
		[['--caller-tls-cert-file', 'a'], /caller-tls-cert-file.*caller-tls-key-file.*both or none/v],
		[['--operator-tls-ca-file', 'a'], /operator-tls-ca-file.*needs/v],
		[['--peer-tls-cert-file', 'a', '--peer-tls-key-file', 'b'], /peer-tls-ca-file.*required/v],
	];
	for (const [flags, pattern] of cases) {
		const faults = getFaults([...validFlags, ...flags]);
		t.is(faults.length, 1);
		t.regex(faults[0] ?? '', pattern);
	}
});

test('unusable certificates are faults', t => {
	const getTlsFlags = (cert: string, key: string) => ['--caller-tls-cert-file', getTlsFile(cert), '--caller-tls-key-file', getTlsFile(key)];
	t.true(parseSettings([...validFlags, ...getTlsFlags('server', 'server-key')], {}).ok);
	const names = '--caller-tls-cert-file (ENDIVEMILL_CALLER_TLS_CERT_FILE), --caller-tls-key-file (ENDIVEMILL_CALLER_TLS_KEY_FILE), --caller-tls-ca-file (ENDIVEMILL_CALLER_TLS_CA_FILE)';
	t.deepEqual(getFaults([...validFlags, ...getTlsFlags('server', 'client-key')]), [`${names}: certificate and key cannot be used: ERR_OSSL_X509_KEY_VALUES_MISMATCH`]);
	t.is(getFaults([...validFlags, ...getTlsFlags('server', 'none')]).length, 1);
});

test('secrets are read from files, and an invalid one is not printed', t => {
	const argv = [...requiredFlags, '--peer-key-file', '/key', '--operator-token-file', '/token'];
	const result = parseSettings(argv, {}, {readFile: path => `secret-of-${path}-and-more\n`});
	t.true(result.ok && result.settings.peerKey === 'secret-of-/key-and-more' && result.settings.operatorToken === 'secret-of-/token-and-more');
	t.is(getFaults([...argv, '--peer-key', peerKey], {}, () => peerKey).length, 1);
	t.deepEqual(getFaults(argv, {}, () => 'short').map(line => line.includes('short')), [false, false]);
	t.deepEqual(getFaults([...requiredFlags, '--peer-key', 'brief']), ['--peer-key (ENDIVEMILL_PEER_KEY): expected at least 16 characters']);
	const unreadable = getFaults([...requiredFlags, '--peer-key-file', '/does/not/exist']);
	t.true(unreadable[0]?.startsWith('--peer-key-file (ENDIVEMILL_PEER_KEY_FILE): ENOENT'));
	const printable = JSON.stringify(getPrintableSettings(parseValid(validFlags)));
	t.false(printable.includes(peerKey));
	t.true(printable.includes('10.0.0.9:2379'));
});

test('the help text lists every flag and variable with its default and unit', t => {
	const result = parseSettings(['--help'], {}, {version: '1.2.3'});
	const help = !result.ok && result.kind === 'text' ? result.text.replaceAll(/\s+/gv, ' ') : '';
	for (const name of settingNames) {
		t.true(help.includes(`${getFlag(name)} <`));
		t.true(help.includes(getVariable(name)));
	}

	t.true(help.includes('(unit: bytes; default: 8388608; ENDIVEMILL_MAX_BODY_BYTES)'));
	t.is(settingTable.periodSeconds.unit, 's');
	t.deepEqual(parseSettings(['--version'], {}, {version: '1.2.3'}), {ok: false, kind: 'text', text: '1.2.3\n'});
});
