import test from 'ava';
import {type ControlLink} from '../../src/connection/control-link.js';
import {MemberRecord} from '../../src/connection/member-record.js';

test('a member whose link is closed for its silence was heard when the link last was', t => {
	const record = new MemberRecord({dataCenter: 'a', vm: 'v', id: 'v-1'}, '127.0.0.1:1', {now: 100, maxBufferBytes: 1000, maxFrameBytes: 1000});
	let isClosed = false;
	record.link = {isClosed: () => isClosed, getLastReceived: () => 15_000} as unknown as ControlLink;
	t.is(record.getLastReceived(), 15_000);
	isClosed = true;
	t.is(record.getLastReceived(), 15_000);
	record.link = undefined;
	t.is(record.getLastReceived(), 15_000);
});

test('the silence of a member that is new is borne for longer', t => {
	const record = new MemberRecord({dataCenter: 'a', vm: 'v', id: 'v-1'}, '127.0.0.1:1', {now: 100, maxBufferBytes: 1000, maxFrameBytes: 1000});
	t.true(record.getTimeoutFactor(3099, 3000) > 1);
	t.is(record.getTimeoutFactor(3100, 3000), 1);
	t.is(record.getTimeoutFactor(100, 0), 1);
});
