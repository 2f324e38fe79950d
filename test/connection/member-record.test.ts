import test from 'ava';
import {type ControlLink} from '../../src/connection/control-link.js';
import {MemberRecord} from '../../src/connection/member-record.js';

test('the time of the last sign of life is kept when a silent link is closed', t => {
	const record = new MemberRecord({dataCenter: 'a', vm: 'v', id: 'v-1'}, '127.0.0.1:1', {now: 100, maxBufferBytes: 1000, maxFrameBytes: 1000});
	let isClosed = false;
	record.link = {isClosed: () => isClosed, getLastReceived: () => 15_000} as unknown as ControlLink;
	t.is(record.getLastReceived(), 15_000);
	isClosed = true;
	t.is(record.getLastReceived(), 15_000);
	record.link = undefined;
	t.is(record.getLastReceived(), 15_000);
});

test('a new member has longer silence timeouts', t => {
	const record = new MemberRecord({dataCenter: 'a', vm: 'v', id: 'v-1'}, '127.0.0.1:1', {now: 100, maxBufferBytes: 1000, maxFrameBytes: 1000});
	t.true(record.getTimeoutFactor(3099, 3000) > 1);
	t.is(record.getTimeoutFactor(3100, 3000), 1);
	t.is(record.getTimeoutFactor(100, 0), 1);
});
