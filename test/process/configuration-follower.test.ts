import test from 'ava';
import {getConfigurationKey} from '../../src/platform/index.js';
import {createConfigurationFollower, EventLog} from '../../src/process/index.js';
import {
	createConfiguration, type FollowerFixture, startPlatform, storeConfiguration, waitFor,
} from './follower-fixture.js';

function startFollower({platform}: FollowerFixture, pollMs = 60_000) {
	const events = new EventLog({process: 'test'});
	const follower = createConfigurationFollower({
		platform, deployment: 'test', events, pollMs,
	});
	const waitForVersion = async (version: number) => waitFor(follower.getStream(), cfg => cfg.version === version);
	const getKinds = () => events.getEvents().map(({kind}) => kind);
	return {follower, waitForVersion, getKinds};
}

test('a stored version takes effect, and so does each higher one', async t => {
	const fixture = await startPlatform(t);
	storeConfiguration(fixture.standIn, 3);
	const {follower, waitForVersion, getKinds} = startFollower(fixture);
	t.is(follower.getConfiguration().version, 0);
	await waitForVersion(3);
	storeConfiguration(fixture.standIn, 4);
	t.like(await waitForVersion(4), {changeId: 'change-4'});
	t.is(getKinds().filter(kind => kind === 'version-in-force').length, 2);
	follower.close();
});

test('a lower version takes no effect, whether stored or offered by a peer', async t => {
	const fixture = await startPlatform(t);
	storeConfiguration(fixture.standIn, 5);
	const {follower, waitForVersion} = startFollower(fixture);
	await waitForVersion(5);
	storeConfiguration(fixture.standIn, 4);
	await follower.refresh();
	t.false(follower.offerConfiguration(createConfiguration(3)));
	t.is(follower.getConfiguration().version, 5);
	t.true(follower.getStatus().olderValues > 0);
	follower.close();
});

test('a version from a peer takes effect while the platform is unavailable', async t => {
	const fixture = await startPlatform(t);
	await fixture.standIn.setFault({isDown: true});
	const {follower, getKinds} = startFollower(fixture);
	t.false(await follower.refresh());
	t.true(follower.offerConfiguration(createConfiguration(7)));
	t.false(follower.offerConfiguration({version: 8}));
	t.is(follower.getConfiguration().version, 7);
	t.deepEqual(getKinds(), ['platform-down', 'version-in-force', 'version-refused']);
	await fixture.standIn.setFault();
	t.true(await follower.refresh());
	t.is(getKinds().at(-1), 'platform-up');
	follower.close();
});

for (const [title, value] of [
	['that is not JSON', '{'],
	['with missing fields', '{"version": 9}'],
	['with an unknown profile', JSON.stringify({version: 9, changeId: 'x', declarations: {services: {seats: {profile: 'fast'}}}})],
] as const) {
	test(`a stored value ${title} is refused once, and the old version stays in force`, async t => {
		const fixture = await startPlatform(t);
		storeConfiguration(fixture.standIn, 2);
		const {follower, waitForVersion, getKinds} = startFollower(fixture);
		await waitForVersion(2);
		fixture.standIn.putKey(getConfigurationKey('test'), value);
		await follower.refresh();
		await follower.refresh();
		t.is(follower.getConfiguration().version, 2);
		t.is(follower.getStatus().refusedValues, 1);
		t.is(getKinds().filter(kind => kind === 'version-refused').length, 1);
		follower.close();
	});
}

test('a poll finds a new version when the watch delivers no events', async t => {
	const fixture = await startPlatform(t);
	storeConfiguration(fixture.standIn, 1);
	const {follower, waitForVersion} = startFollower(fixture, 50);
	await waitForVersion(1);
	fixture.standIn.silenceConnections();
	storeConfiguration(fixture.standIn, 2);
	await waitForVersion(2);
	t.pass();
	follower.close();
});
