import test from 'ava';
import {MemberTable} from '../../src/connection/member-table.js';
import {ReportTable} from '../../src/connection/report-table.js';
import {EventLog} from '../../src/process/events.js';
import {createFakeClock} from '../support/fake-clock.js';

const status = {
	configurationVersion: 1, isLeaving: false, claims: {}, cores: 1,
};

function createReportTable(): {readonly reports: ReportTable; readonly table: MemberTable} {
	const clock = createFakeClock();
	const self = {dataCenter: 'dc1', vm: 'a', id: 'a-1'};
	const table = new MemberTable({
		clock, events: new EventLog({clock, process: self.id}), maxBufferBytes: 1000, maxFrameBytes: 1000, onDown() {/* Not tested here. */}, onRemove() {/* Not tested here. */},
	});
	return {
		table,
		reports: new ReportTable({
			clock, self, getAddress: () => '127.0.0.1:1', table, maxAgeMs: 1000,
		}),
	};
}

test('the report within the data centre changes only with the members that are up and their addresses', t => {
	const {reports, table} = createReportTable();
	let beat = 0;
	const getReport = (own = status): ReturnType<ReportTable['getLocalReport']> => reports.getLocalReport(reports.getOwnReport(++beat, own));
	const record = table.getOrAddRecord({dataCenter: 'dc1', vm: 'b', id: 'b-1'}, '127.0.0.1:2');
	const silent = getReport();
	table.setState(record, 'up', 'test');
	const up = getReport();
	t.not(up.view, silent.view);
	t.deepEqual(up.view.members.map(({id, address, state}) => [id, address, state]), [['a-1', '127.0.0.1:1', 'up'], ['b-1', '127.0.0.1:2', 'up']]);

	table.setStatus(record, {...status, configurationVersion: 2, claims: {p: 3}});
	t.is(getReport().view, up.view);
	t.is(getReport({...status, configurationVersion: 2}).view, up.view);
	const remote = table.getOrAddRecord({dataCenter: 'dc2', vm: 'c', id: 'c-1'}, '127.0.0.1:3');
	table.setState(remote, 'up', 'test');
	t.is(getReport().view, up.view);

	table.setAddress(record, '127.0.0.1:4');
	const moved = getReport();
	t.is(moved.view.members[1]!.address, '127.0.0.1:4');
	table.setState(record, 'silent', 'test');
	t.not(getReport().view, moved.view);
	t.is(getReport().beat, beat);
});

test('the report to other data centres changes with each change of a member', t => {
	const {reports, table} = createReportTable();
	const record = table.getOrAddRecord({dataCenter: 'dc1', vm: 'b', id: 'b-1'}, '127.0.0.1:2');
	const first = reports.getOwnReport(1, status).view;
	t.is(reports.getOwnReport(2, status).view, first);
	table.setStatus(record, {...status, claims: {p: 3}});
	const claimed = reports.getOwnReport(3, status).view;
	t.deepEqual(claimed.members[1]!.claims, {p: 3});
	table.setStatus(record, {...status, claims: {p: 3}});
	t.is(reports.getOwnReport(4, status).view, claimed);
	table.setStatus(record, {...status, claims: {p: 4}});
	t.deepEqual(reports.getOwnReport(5, status).view.members[1]!.claims, {p: 4});
	table.setStatus(record, {...status, claims: {q: 4}});
	t.deepEqual(reports.getOwnReport(6, status).view.members[1]!.claims, {q: 4});
});
