import test from 'ava';
import {type ControlLinks} from '../../src/connection/control-links.js';
import {type DataCenterView} from '../../src/connection/index.js';
import {MemberTable} from '../../src/connection/member-table.js';
import {Membership} from '../../src/connection/membership.js';
import {resolvePeerMeshOptions} from '../../src/connection/peer-mesh-options.js';
import {ReportTable} from '../../src/connection/report-table.js';
import {EventLog} from '../../src/process/events.js';
import {createFakeClock} from '../support/fake-clock.js';

const reportMaxAgeMs = 3000;

function createFixture() {
	const clock = createFakeClock();
	const self = {dataCenter: 'dc1', vm: 'a', id: 'a-1'};
	const getAddress = (): string => '127.0.0.1:1';
	const table = new MemberTable({
		clock, events: new EventLog({clock, process: self.id}), maxBufferBytes: 1000, maxFrameBytes: 1000, onDown() {/* Not tested here. */}, onRemove() {/* Not tested here. */},
	});
	const reports = new ReportTable({
		clock, self, getAddress, table, maxAgeMs: reportMaxAgeMs,
	});
	const settings = resolvePeerMeshOptions({
		clock, deployment: 'test', self, listenAddress: '127.0.0.1:1', key: 'a key', remoteLinkCount: 0, reportMaxAgeMs, getHeartbeat: () => ({configurationVersion: 1, isLeaving: false, load: {}}),
	});
	const links = {} as unknown as ControlLinks;
	const membership = new Membership({
		settings, getAddress, table, reports, links,
	});
	let beat = 0;
	return {
		table,
		advance(ms: number) {
			clock.tick(ms);
			membership.evaluate(clock.getMonotonicTime());
		},
		addReport(reporter: string, view: DataCenterView) {
			membership.addReports([{reporter, beat: ++beat, view}]);
		},
		getStates: () => Object.fromEntries(table.getMembers().map(({incarnation, state}) => [incarnation.id, state])),
	};
}

function createView(states: Readonly<Record<string, 'up' | 'silent' | 'down'>>): DataCenterView {
	return {
		dataCenter: 'dc2',
		members: Object.entries(states).map(([id, state], index) => ({
			id, vm: id, address: `127.0.0.2:${index + 1}`, state, isLeaving: false, configurationVersion: 1, claims: {}, cores: 1,
		})),
	};
}

test('a member stays up while an unchanged view reports it, and goes down without reports', t => {
	const {addReport, advance, getStates, table} = createFixture();
	const view = createView({b: 'up', c: 'up'});
	for (let count = 0; count < 20; count++) {
		addReport('b', view);
		advance(500);
		t.deepEqual(getStates(), {b: 'up', c: 'up'});
	}

	const revision = table.getRevision();
	addReport('b', view);
	t.is(table.getRevision(), revision);
	for (let count = 0; count < 20; count++) {
		advance(500);
	}

	t.deepEqual(getStates(), {b: 'down', c: 'down'});
});

test('an unchanged view is applied again after another change of a member', t => {
	const {addReport, getStates, table} = createFixture();
	const view = createView({b: 'up', c: 'up'});
	addReport('b', view);
	addReport('b', view);
	table.setState(table.getRecord('c')!, 'silent', 'test');
	addReport('b', view);
	t.deepEqual(getStates(), {b: 'up', c: 'up'});
});

test('a member that an unchanged view reports down goes down once the other reports about it are too old', t => {
	const {addReport, advance, getStates} = createFixture();
	const up = createView({b: 'up', c: 'up', d: 'up'});
	const down = createView({b: 'up', c: 'up', d: 'down'});
	addReport('c', up);
	addReport('b', down);
	addReport('b', down);
	t.deepEqual(getStates(), {b: 'up', c: 'up', d: 'up'});
	for (let elapsedMs = 0; elapsedMs <= reportMaxAgeMs; elapsedMs += 500) {
		advance(500);
		addReport('b', down);
	}

	t.deepEqual(getStates(), {b: 'up', c: 'up', d: 'down'});
});
